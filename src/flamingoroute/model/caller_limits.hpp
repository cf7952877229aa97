#ifndef FLAMINGOROUTE_MODEL_CALLER_LIMITS_HPP
#define FLAMINGOROUTE_MODEL_CALLER_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Size limits and timeouts for the requests of a caller.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    milliseconds headerTimeout { 3000 }; ///< from the first byte of a request to the end of its header
    milliseconds idleTimeout { 15000 }; ///< between two requests

    bool operator==(const caller_limits&) const = default;
};

} // namespace flamingoroute

#endif
