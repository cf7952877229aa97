#ifndef FLAMINGOROUTE_PLACEMENT_PLACEMENT_REQUEST_HPP
#define FLAMINGOROUTE_PLACEMENT_PLACEMENT_REQUEST_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// What placement knows of a request.
struct placement_request {
    std::uint64_t objectHash = 0; ///< the same for all requests for one object
    bool isSticky = false; ///< an upstream is faster for objects that it handled lately
    microseconds warmTime { 0 }; ///< expected time at an idle upstream that handled the object lately
    microseconds coldTime { 0 }; ///< the same at one that did not
    microseconds objective { 0 }; ///< time left in which an answer has its full value
    microseconds timeLeft { 0 }; ///< time left in which an answer has any value
    double maxWaitShare = 1; ///< part of the objective that it may spend waiting; smaller for lower ranks

    bool operator==(const placement_request&) const = default;
};

} // namespace flamingoroute

#endif
