#ifndef FLAMINGOROUTE_PLACEMENT_PLACEMENT_CANDIDATE_HPP
#define FLAMINGOROUTE_PLACEMENT_PLACEMENT_CANDIDATE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// An upstream that may get a request, as placement sees it.
struct placement_candidate {
    upstream_id name;
    double weight = 1; ///< its part of the objects, in relation to the others'
    int slots = 1;
    double load = 0; ///< requests running or waiting there
    double slowness = 1; ///< its time per request against the others'
    double failureShare = 0;
    microseconds pathDelay { 0 }; ///< there and back
    bool isWarm = false; ///< handled the request's object lately

    bool operator==(const placement_candidate&) const = default;
};

} // namespace flamingoroute

#endif
