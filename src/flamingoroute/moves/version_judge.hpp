#ifndef FLAMINGOROUTE_MOVES_VERSION_JUDGE_HPP
#define FLAMINGOROUTE_MOVES_VERSION_JUDGE_HPP

#include "flamingoroute/moves/move_settings.hpp"
#include "flamingoroute/moves/route_evidence.hpp"
#include "flamingoroute/moves/version_verdict.hpp"

#include <map>
#include <optional>
#include <string>

namespace flamingoroute {

/// Judges a new version by errors and latency against the old one in the same time, on each route and over all.
/// `bad` stays; `good` is of the step in force only. Errors count at once, slowness after the caches had time to warm.
class version_judge {
public:
    explicit version_judge(const move_settings& settings)
        : m_settings(settings)
    {
    }

    /// A step with this share came into force.
    void beginStep(int sharePercent, monotonic_time now);

    /// @param more attempts on the route since the last call
    void add(const std::string& route, const route_counts& more, monotonic_time now);

    version_verdict verdict() const;

    /// @return whether something speaks against the new version, so that others should hear of it soon
    bool isSuspicious() const { return !m_all.isUnsuspicious(); }

    /// @return attempts counted since the step began, over all routes
    const route_counts& counts() const { return m_all.counts(); }

private:
    void endColdTimeIfDue(monotonic_time now);
    void judge(const std::string& where, const route_evidence& evidence);
    bool isGood() const;

    move_settings m_settings;
    std::map<std::string, route_evidence> m_routes;
    route_evidence m_all;
    monotonic_time m_coldUntil {};
    bool m_isCold = true;
    std::optional<version_verdict> m_bad;
};

} // namespace flamingoroute

#endif
