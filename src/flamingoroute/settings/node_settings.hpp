#ifndef FLAMINGOROUTE_SETTINGS_NODE_SETTINGS_HPP
#define FLAMINGOROUTE_SETTINGS_NODE_SETTINGS_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace flamingoroute {

/// Settings of a node, read once at its start.
struct node_settings {
    instance_id instance;
    failure_domain_id failureDomain;
    region_id region;
    endpoint callerAddress; ///< listen address for callers
    endpoint readinessAddress; ///< listen address for readiness checks
    endpoint lookupAddress; ///< listen address for look-ups
    endpoint peerAddress; ///< listen address for other instances
    endpoint forwardAddress; ///< listen address for requests that other instances forward; port 0: none
    endpoint metricsAddress; ///< listen address for metrics; port 0: none
    endpoint storeAddress; ///< address of the platform's object API
    endpoint usageAddress; ///< address that takes usage reports; port 0: usage is not reported
    double dutyCallsPerSecond = 1; ///< that the platform accepts from all instances together
    std::map<failure_domain_id, region_id> regions; ///< region of each failure domain
    int linkMbps = 0; ///< bandwidth of the instance's network link; 0: unknown
    std::size_t fileDescriptorLimit = 1024; ///< maximum number of files and sockets that the process may open
    std::size_t memoryLimitBytes = std::size_t { 256 } << 20U; ///< beyond this the process is killed
    bool isFirstStart = false; ///< the whole fleet, not just this node, starts for the first time
    fleet_bounds bounds;

    bool operator==(const node_settings&) const = default;
};

} // namespace flamingoroute

#endif
