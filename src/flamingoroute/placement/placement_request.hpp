#ifndef FLAMINGOROUTE_PLACEMENT_PLACEMENT_REQUEST_HPP
#define FLAMINGOROUTE_PLACEMENT_PLACEMENT_REQUEST_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// Properties of a request that placement uses.
struct placement_request {
    std::uint64_t objectHash = 0; ///< the same for all requests for one object
    bool isSticky = false; ///< upstreams are faster for objects that they recently handled
    microseconds warmTime { 0 }; ///< expected time at an idle upstream that recently handled the object
    microseconds coldTime { 0 }; ///< expected time at an idle upstream that did not
    microseconds objective { 0 }; ///< time left in which an answer has its full value
    microseconds timeLeft { 0 }; ///< time left in which an answer has any value
    double maxWaitShare = 1; ///< share of the objective that may be spent waiting; smaller for lower ranks

    bool operator==(const placement_request&) const = default;
};

} // namespace flamingoroute

#endif
