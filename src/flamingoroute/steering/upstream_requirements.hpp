#ifndef FLAMINGOROUTE_STEERING_UPSTREAM_REQUIREMENTS_HPP
#define FLAMINGOROUTE_STEERING_UPSTREAM_REQUIREMENTS_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/route.hpp"

#include <cstdint>
#include <vector>

namespace flamingoroute {

/// What a request requires of an upstream.
struct upstream_requirements {
    service_id service;
    version_id version;
    customer_id customer; ///< empty on open routes
    request_class requestClass = request_class::interactive;
    std::vector<upstream_id> tried; ///< not to be chosen again
    monotonic_time deadline; ///< by when the request must leave the queue
    std::uint64_t requestBytes = 0; ///< for credits on links between regions

    bool operator==(const upstream_requirements&) const = default;
};

} // namespace flamingoroute

#endif
