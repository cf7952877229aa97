#ifndef FLAMINGOROUTE_FLEET_MEMBER_READINESS_HPP
#define FLAMINGOROUTE_FLEET_MEMBER_READINESS_HPP

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// The readiness of an instance as last reported to a relay of its region.
struct member_readiness {
    std::string instance;
    bool isReady = false; ///< accepts callers
    bool reachesUpstreams = true; ///< is not partitioned from all upstreams

    bool operator==(const member_readiness&) const = default;
    MSGPACK_DEFINE(instance, isReady, reachesUpstreams)
};

} // namespace flamingoroute

#endif
