#ifndef FLAMINGOROUTE_PEERS_MEMBERSHIP_SETTINGS_HPP
#define FLAMINGOROUTE_PEERS_MEMBERSHIP_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Intervals, timeouts and limits of the membership. The heartbeat interval grows with the number of peers, so that the
/// bandwidth of heartbeats stays within a budget.
struct membership_settings {
    milliseconds minInterval { 500 }; ///< between two heartbeats to the same peer
    std::size_t heartbeatBytes = 90; ///< size of one heartbeat on the wire, for the budget
    std::size_t bytesPerSecond = 1200; ///< bandwidth budget of a process for heartbeats
    std::size_t maxFullMeshInstances = 32; ///< up to this many instances heartbeats form a full mesh
    std::size_t bridges = 2; ///< instances of a failure domain that exchange records with other domains
    std::size_t recordsPerMessage = 40;
    std::size_t relayFanout = 2; ///< local peers to which a change received from a local peer is relayed
    milliseconds digestInterval { 2000 }; ///< between two digests of a bridge to another failure domain
    milliseconds recordInterval { 10'000 }; ///< between two record samples sent to a random local peer
    int suspectIntervals = 3; ///< consecutive heartbeats that may be missed
    milliseconds suspectGrace { 500 };
    milliseconds goneTimeout { 60'000 }; ///< how long an unresponsive member must be unlisted to be gone
    milliseconds goneRetention { 600'000 }; ///< time since a gone member was last reachable until it is evicted

    bool operator==(const membership_settings&) const = default;
};

} // namespace flamingoroute

#endif
