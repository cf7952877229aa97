#ifndef FLAMINGOROUTE_REQUESTS_ROUTE_MATCH_HPP
#define FLAMINGOROUTE_REQUESTS_ROUTE_MATCH_HPP

#include "flamingoroute/model/configuration.hpp"

#include <optional>
#include <string>

namespace flamingoroute {

/// The service and the route that match a request. The pointers refer to the configuration.
struct route_match {
    const service* matchedService = nullptr;
    const route* matchedRoute = nullptr;
};

/// @param target path and query
/// @return the route with the longest matching prefix that accepts @p method, over all services
std::optional<route_match> matchRoute(
    const configuration& current, const std::string& method, const std::string& target);

} // namespace flamingoroute

#endif
