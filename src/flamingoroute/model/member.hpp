#ifndef FLAMINGOROUTE_MODEL_MEMBER_HPP
#define FLAMINGOROUTE_MODEL_MEMBER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// An instance of the system: its location and its addresses.
struct member {
    instance_id instance;
    failure_domain_id failureDomain;
    region_id region;
    endpoint callerAddress; ///< HTTP, for callers
    endpoint entryAddress; ///< nng, the entry process
    endpoint controlAddress; ///< nng, the control process
    endpoint forwardAddress {}; ///< HTTP, for requests that other instances forward; port 0: none
    int linkMbps = 0; ///< capacity of its network link; 0: unknown

    auto operator<=>(const member&) const = default;
    bool operator==(const member&) const = default;
};

} // namespace flamingoroute

#endif
