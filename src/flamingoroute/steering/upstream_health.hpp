#ifndef FLAMINGOROUTE_STEERING_UPSTREAM_HEALTH_HPP
#define FLAMINGOROUTE_STEERING_UPSTREAM_HEALTH_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/requests/attempt_result.hpp"
#include "flamingoroute/steering/probe_answer.hpp"
#include "flamingoroute/steering/steering_settings.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace flamingoroute {

/// Judges upstreams by their answers first and by their health endpoints only where no answer speaks. Pure.
/// An upstream whose answers are outliers is ejected for a time, but never more than a set share of the upstreams
/// that run the same version of a service. A new upstream, or one that comes back, starts slowly.
class upstream_health {
public:
    explicit upstream_health(steering_settings settings);

    void adopt(const configuration& current, monotonic_time now);

    /// Takes in how an attempt ended.
    void noteResult(const upstream_id& target, const attempt_result& result, monotonic_time now);

    /// Takes in what a health endpoint said.
    void noteProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now);

    /// Takes in what another instance heard from the upstream.
    void noteHeardLeaving(const upstream_id& target, monotonic_time now);

    /// @return whether the upstream shall get no new work
    bool isLeaving(const upstream_id& target, monotonic_time now) const;

    /// @return whether the upstream itself told this instance that it leaves
    bool isLeavingFirstHand(const upstream_id& target, monotonic_time now) const;

    bool isEjected(const upstream_id& target, monotonic_time now) const;

    /// @return the part of its slots that may be used, above 0 and up to 1
    double warmth(const upstream_id& target, monotonic_time now) const;

    /// @return the last reported load, 0 to 1, fading with its age
    double load(const upstream_id& target, monotonic_time now) const;

    /// @return upstreams ejected now among those of the same service version
    std::size_t ejectedCount(const service_id& wanted, const version_id& run, monotonic_time now) const;

private:
    using set_key = std::pair<service_id, version_id>;
    struct record {
        set_key peers;
        bool isLeavingByConfiguration = false;
        monotonic_time leavingUntil; ///< by its own word
        monotonic_time heardLeavingUntil;
        monotonic_time ejectedUntil;
        int ejections = 0; ///< in a row
        int failuresInRow = 0;
        double failureShare = 0;
        double latencyMs = 0;
        int answers = 0; ///< since the last ejection
        monotonic_time goodAt; ///< of the last good answer
        bool hasGoodAnswer = false;
        bool isCold = false;
        monotonic_time coldSince;
        double reportedLoad = 0;
        monotonic_time loadAt;
    };

    void noteGood(record& known, const attempt_result& result, monotonic_time now);
    void noteFailure(record& known, monotonic_time now);
    void noteLoad(record& known, double load, monotonic_time now) const;
    void judge(record& known, monotonic_time now);
    void eject(record& known, monotonic_time now);
    bool isSlow(const record& known) const;

    steering_settings m_settings;
    bool m_isFirst = true;
    std::map<upstream_id, record> m_records;
    std::map<set_key, std::vector<upstream_id>> m_sets;
};

} // namespace flamingoroute

#endif
