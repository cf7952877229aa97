#ifndef FLAMINGOROUTE_MODEL_UPSTREAM_HPP
#define FLAMINGOROUTE_MODEL_UPSTREAM_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// A server that runs the requests of one service in one version.
struct upstream {
    upstream_id name;
    service_id service;
    version_id version;
    failure_domain_id failureDomain;
    endpoint address;
    int slots = 1; ///< requests it runs at one time
    int maxConnections = 300; ///< connections it accepts from the whole fleet
    bool isLeaving = false; ///< accepts no new requests

    bool operator==(const upstream&) const = default;
};

} // namespace flamingoroute

#endif
