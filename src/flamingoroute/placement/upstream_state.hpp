#ifndef FLAMINGOROUTE_PLACEMENT_UPSTREAM_STATE_HPP
#define FLAMINGOROUTE_PLACEMENT_UPSTREAM_STATE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/registered_upstream.hpp"
#include "flamingoroute/placement/in_flight_history.hpp"

#include <cstdint>
#include <optional>

namespace flamingoroute {

/// State of an upstream on this instance: its entry in the list, and what was measured from its answers.
struct upstream_state {
    registered_upstream registration;
    std::uint64_t nameHash = 0; ///< hash64 of the registered name
    region_id region;
    monotonic_time lastFailureAt; ///< of an attempt without an answer
    monotonic_time coldUntilBeforeFailures; ///< coldUntil when the attempts since the last answer began to fail
    monotonic_time coldUntilByFailures; ///< to which those attempts set coldUntil
    int inFlight = 0; ///< requests of this instance without a result yet
    in_flight_history ownRequests; ///< inFlight at earlier times
    double othersLoad = 0; ///< requests of other instances, running or waiting, as of loadReportedAt
    monotonic_time loadReportedAt;
    double workTimeFactor
        = 1; ///< by which the upstream said that work takes longer, as of workTimeReportedAt; at least 1
    monotonic_time workTimeReportedAt;
    monotonic_time coldUntil;
    monotonic_time backOffUntil; ///< set after failures; other upstreams are preferred until then
    int consecutiveFailures = 0; ///< consecutive attempts without a complete answer
    double failureShare = 0; ///< failed attempts as of healthUpdatedAt, weighted towards the newest
    double slowness = 1; ///< time per request divided by the expected time, as of healthUpdatedAt, without slow work
                         ///< that the upstream itself reported
    monotonic_time healthUpdatedAt;
    monotonic_time lastAnswerAt;
    std::optional<double> requestLimit; ///< requests per second from all instances, as named in the last answer
    monotonic_time nextLimitedSendAt; ///< while a limit is named: when this instance may send the next request
    monotonic_time pausedUntil; ///< the upstream turned a request away and asked for none until then
    bool isLeaving = false; ///< its entry or an answer said that it will soon accept no more requests
    bool isMisdirected = false; ///< its address answered that it belongs to another upstream

    bool operator==(const upstream_state&) const = default;
};

} // namespace flamingoroute

#endif
