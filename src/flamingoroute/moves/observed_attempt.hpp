#ifndef FLAMINGOROUTE_MOVES_OBSERVED_ATTEMPT_HPP
#define FLAMINGOROUTE_MOVES_OBSERVED_ATTEMPT_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// One attempt at an upstream, as input of the verdict on versions.
struct observed_attempt {
    service_id service;
    std::string routeName;
    version_id version;
    bool isError = false; ///< status of 500 or above, incomplete response, or no response
    microseconds latency { 0 };

    bool operator==(const observed_attempt&) const = default;
};

} // namespace flamingoroute

#endif
