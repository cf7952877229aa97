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

/// Evaluates upstreams by their answers, and by their health endpoints only while there is no recent good answer.
/// Pure: no I/O, clocks or threads. An upstream whose answers are outliers is ejected for a time, but never more than a
/// set share of the upstreams that run the same version of a service. A new upstream, or one that returns, begins with
/// a slow start.
class upstream_health {
public:
    explicit upstream_health(steering_settings settings);

    void adopt(const configuration& current, monotonic_time now);

    /// Records the result of an attempt.
    void recordResult(const upstream_id& target, const attempt_result& result, monotonic_time now);

    /// Records the result of a probe of the health endpoint.
    void recordProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now);

    /// Records that another instance reported the upstream as leaving.
    void recordLeavingReportedByPeer(const upstream_id& target, monotonic_time now);

    /// @return whether the upstream must get no new work
    bool isLeaving(const upstream_id& target, monotonic_time now) const;

    /// @return whether the upstream itself reported to this instance that it is leaving
    bool isLeavingByOwnReport(const upstream_id& target, monotonic_time now) const;

    bool isEjected(const upstream_id& target, monotonic_time now) const;

    /// @return the share of its slots that may be used, above 0 and up to 1
    double slowStartFactor(const upstream_id& target, monotonic_time now) const;

    /// @return the last reported load, 0 to 1, decaying with its age
    double load(const upstream_id& target, monotonic_time now) const;

    /// @return upstreams ejected now among those of the same service version
    std::size_t ejectedCount(const service_id& service, const version_id& version, monotonic_time now) const;

private:
    using version_key = std::pair<service_id, version_id>;
    struct record {
        version_key peers;
        bool isLeavingByConfiguration = false;
        monotonic_time ownReportUntil; ///< the upstream's own report that it is leaving is valid until then
        monotonic_time peerReportUntil;
        monotonic_time ejectedUntil;
        int ejections = 0; ///< consecutive
        int failuresInRow = 0;
        double failureShare = 0;
        double latencyMs = 0;
        int answers = 0; ///< since the last ejection
        monotonic_time lastSuccessAt; ///< of the last good answer
        bool hasSucceeded = false;
        bool isInSlowStart = false;
        monotonic_time slowStartAt;
        double reportedLoad = 0;
        monotonic_time loadAt;
    };

    void recordSuccess(record& entry, const attempt_result& result, monotonic_time now);
    void recordFailure(record& entry, monotonic_time now);
    void recordLoad(record& entry, double load, monotonic_time now) const;
    void evaluate(record& entry, monotonic_time now);
    void eject(record& entry, monotonic_time now);
    bool isSlow(const record& entry) const;

    steering_settings m_settings;
    bool m_isFirst = true;
    std::map<upstream_id, record> m_records;
    std::map<version_key, std::vector<upstream_id>> m_upstreamsByVersion;
};

} // namespace flamingoroute

#endif
