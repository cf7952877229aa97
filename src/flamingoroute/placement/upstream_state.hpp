#ifndef FLAMINGOROUTE_PLACEMENT_UPSTREAM_STATE_HPP
#define FLAMINGOROUTE_PLACEMENT_UPSTREAM_STATE_HPP

#include "flamingoroute/model/listed_upstream.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// What this instance knows of an upstream: its entry in the list, and what its answers showed.
struct upstream_state {
    listed_upstream listed;
    region_id region;
    int inFlight = 0; ///< requests of this instance
    double othersLoad = 0; ///< requests of other instances, running or waiting, as of loadReportedAt
    monotonic_time loadReportedAt;
    monotonic_time coldUntil;
    monotonic_time backOffUntil; ///< gets nothing before, after failures
    int consecutiveFailures = 0; ///< attempts without a whole answer
    double failureShare = 0; ///< failed attempts as of healthUpdatedAt, weighted towards the newest
    double slowness = 1; ///< its time per request against what was expected, as of healthUpdatedAt
    monotonic_time healthUpdatedAt;
    monotonic_time lastAnswerAt;
    bool isMisdirected = false; ///< its address answers for another upstream, or it says that it leaves

    bool operator==(const upstream_state&) const = default;
};

} // namespace flamingoroute

#endif
