#ifndef FLAMINGOROUTE_CONFIG_REPLICA_SETTINGS_HPP
#define FLAMINGOROUTE_CONFIG_REPLICA_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Intervals and limits of a configuration replica.
struct replica_settings {
    milliseconds gossipInterval { 1000 }; ///< between two offers to a random peer
    milliseconds startGossipInterval { 200 }; ///< the same while nothing is active
    milliseconds fetchTimeout { 500 }; ///< before content is requested from another source
    milliseconds startupPeriod { 1000 }; ///< minimum time that a new instance collects offers before it is ready
    std::size_t maxOutstandingChunks = 16;
    std::size_t chunksPerRequest = 8;
    std::size_t remotePushes = 3; ///< offers to other failure domains after an adoption from outside
    std::size_t localPushes = 2; ///< offers in the failure domain after an adoption that came from within it
    int maxFetchRounds = 6; ///< a target is abandoned after more consecutive rounds with timeouts

    bool operator==(const replica_settings&) const = default;
};

} // namespace flamingoroute

#endif
