#ifndef FLAMINGOROUTE_STEERING_LOOKUP_SETTINGS_HPP
#define FLAMINGOROUTE_STEERING_LOOKUP_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// How callers are spread over instances.
struct lookup_settings {
    std::size_t maxInstances = 6; ///< in one answer
    std::size_t maxInstancesOfOwnRegion = 4; ///< of these; the rest is for nearby regions
    milliseconds timeToLive { 5000 }; ///< how long a caller may keep an answer

    bool operator==(const lookup_settings&) const = default;
};

} // namespace flamingoroute

#endif
