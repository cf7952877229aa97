#ifndef FLAMINGOROUTE_SETTINGS_NODE_SETTINGS_HPP
#define FLAMINGOROUTE_SETTINGS_NODE_SETTINGS_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace flamingoroute {

/// What a node knows at its start.
struct node_settings {
    instance_id instance;
    failure_domain_id failureDomain;
    region_id region;
    endpoint callerAddress; ///< listens for callers
    endpoint readinessAddress; ///< listens for readiness checks
    endpoint lookupAddress; ///< listens for look-ups
    endpoint peerAddress; ///< listens for other instances
    endpoint metricsAddress; ///< listens for metrics
    endpoint storeAddress; ///< the platform's object API
    std::map<failure_domain_id, region_id> regions; ///< of each failure domain
    int linkMbps = 0; ///< what the instance's network link carries; 0: not known
    std::size_t fileDescriptorLimit = 1024; ///< files and sockets that the process may open
    bool isFirstStart = false; ///< the whole system starts for the first time
    fleet_bounds bounds;

    bool operator==(const node_settings&) const = default;
};

} // namespace flamingoroute

#endif
