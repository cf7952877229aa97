#ifndef FLAMINGOROUTE_MODEL_SERVICE_HPP
#define FLAMINGOROUTE_MODEL_SERVICE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/route.hpp"

#include <vector>

namespace flamingoroute {

/// How a service handles a non-repeatable request for which no claim can be made.
enum class unclaimable_policy {
    refuse,
    run_in_domain,
};

/// A named set of routes served by upstreams.
struct service {
    service_id name;
    version_id currentVersion; ///< receives the traffic that no move assigns to another version
    std::vector<route> routes; ///< the longest matching prefix wins
    unclaimable_policy unclaimable = unclaimable_policy::refuse;

    bool operator==(const service&) const = default;
};

} // namespace flamingoroute

#endif
