#ifndef FLAMINGOROUTE_MODEL_SERVICE_SHARE_HPP
#define FLAMINGOROUTE_MODEL_SERVICE_SHARE_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// A service's share of the requests of a rule.
struct service_share {
    service_id service;
    int weight = 1;

    bool operator==(const service_share&) const = default;
};

} // namespace flamingoroute

#endif
