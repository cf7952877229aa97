#ifndef FLAMINGOROUTE_CONFIG_REPLICA_SETTINGS_HPP
#define FLAMINGOROUTE_CONFIG_REPLICA_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Times and bounds of a configuration replica.
struct replica_settings {
    milliseconds gossipInterval { 1000 }; ///< between two offers to a random peer
    milliseconds startGossipInterval { 200 }; ///< the same while nothing is in force
    milliseconds fetchTimeout { 500 }; ///< before content is asked for elsewhere
    milliseconds startPatience { 1000 }; ///< how long a new instance hears peers out before it is ready
    std::size_t maxOutstandingChunks = 16;
    std::size_t chunksPerRequest = 8;
    std::size_t remotePushes = 3; ///< offers to other failure domains after an adoption
    std::size_t localPushes = 2; ///< offers in the failure domain after an adoption that came from within it
    int maxFetchRounds = 6; ///< timeouts in a row before a target is given up

    bool operator==(const replica_settings&) const = default;
};

} // namespace flamingoroute

#endif
