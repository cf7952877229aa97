#ifndef FLAMINGOROUTE_CONFIG_REPLICA_PEERS_HPP
#define FLAMINGOROUTE_CONFIG_REPLICA_PEERS_HPP

#include "flamingoroute/config/config_source.hpp"

#include <vector>

namespace flamingoroute {

/// The peers that a replica gossips with.
struct replica_peers {
    std::vector<config_source> local; ///< other processes in the failure domain, including those of this instance
    std::vector<config_source> remote; ///< bridges of other failure domains; empty unless this instance is a bridge
    std::vector<config_source> any; ///< all known peers; used at startup and while nothing is active

    bool operator==(const replica_peers&) const = default;
};

} // namespace flamingoroute

#endif
