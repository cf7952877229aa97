#ifndef FLAMINGOROUTE_MOVES_OBSERVED_ATTEMPT_HPP
#define FLAMINGOROUTE_MOVES_OBSERVED_ATTEMPT_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// One attempt at an upstream, as the verdict on versions sees it.
struct observed_attempt {
    service_id service;
    std::string routeName;
    version_id version;
    bool isError = false; ///< answered with a status of 500 or above, cut, or not answered
    microseconds latency { 0 };

    bool operator==(const observed_attempt&) const = default;
};

} // namespace flamingoroute

#endif
