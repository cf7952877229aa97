#ifndef FLAMINGOROUTE_MOVES_VERSION_JUDGE_HPP
#define FLAMINGOROUTE_MOVES_VERSION_JUDGE_HPP

#include "flamingoroute/moves/move_settings.hpp"
#include "flamingoroute/moves/route_evidence.hpp"
#include "flamingoroute/moves/version_verdict.hpp"

#include <map>
#include <optional>
#include <string>

namespace flamingoroute {

/// Judges a new version by errors and latency against the old one in the same period, on each route and over all.
/// `bad` is final; `good` applies to the active step only. Errors count at once, slowness after caches had time to
/// warm up.
class version_judge {
public:
    explicit version_judge(const move_settings& settings)
        : m_settings(settings)
    {
    }

    /// Starts a step with this share.
    void beginStep(int sharePercent, monotonic_time now);

    /// @param more attempts on the route since the last call
    void add(const std::string& route, const route_counts& more, monotonic_time now);

    version_verdict verdict() const;

    /// @return whether the evidence over all routes is against the new version, so that it should be reported soon
    bool isSuspicious() const { return !m_all.isUnsuspicious(); }

    /// @return attempts counted since the step began, over all routes
    const route_counts& counts() const { return m_all.counts(); }

private:
    void endWarmUpIfDue(monotonic_time now);
    void judge(const std::string& where, const route_evidence& evidence);
    bool isGood() const;

    move_settings m_settings;
    std::map<std::string, route_evidence> m_routes;
    route_evidence m_all;
    monotonic_time m_warmUpUntil {};
    bool m_isWarmingUp = true;
    std::optional<version_verdict> m_bad;
};

} // namespace flamingoroute

#endif
