#ifndef FLAMINGOROUTE_MODEL_ROUTING_RULE_HPP
#define FLAMINGOROUTE_MODEL_ROUTING_RULE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/service_share.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// Maps requests of a host to services and states how the requests may be handled.
struct routing_rule {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    bool isIdempotent = false; ///< an upstream may run the same request twice without harm
    milliseconds timeout { 0 }; ///< maximum time to an answer
    milliseconds objective { 0 }; ///< the time within which an answer has its full value
    int rank = 0; ///< 0 is served first
    int maxAttempts = 1; ///< upstreams to which one request may be sent
    bool isPublic = false; ///< needs no key
    bool isSticky = false; ///< an upstream is faster for objects that it handled recently
    std::vector<region_id> homeRegions; ///< regions that may serve it; empty: all
    std::vector<service_share> shares; ///< never empty

    bool operator==(const routing_rule&) const = default;
};

} // namespace flamingoroute

#endif
