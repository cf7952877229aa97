#ifndef FLAMINGOROUTE_PEERS_MEMBERSHIP_SETTINGS_HPP
#define FLAMINGOROUTE_PEERS_MEMBERSHIP_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Times and bounds of the membership. Heartbeats grow rarer as the failure domain grows, so that their cost stays
/// under a budget.
struct membership_settings {
    milliseconds minInterval { 500 }; ///< between two heartbeats to the same peer
    std::size_t heartbeatBytes = 90; ///< what one heartbeat costs on the wire, for the budget
    std::size_t bytesPerSecond = 1200; ///< that a process may send as heartbeats
    std::size_t wholeFleetLimit = 32; ///< up to this many instances everyone hears everyone
    std::size_t bridges = 2; ///< instances of a failure domain that exchange records with other domains
    std::size_t recordsPerMessage = 40;
    std::size_t relayFanout = 2; ///< local peers that are told of a change learned from a local peer
    milliseconds digestInterval { 2000 }; ///< between two digests of a bridge to another failure domain
    milliseconds recordInterval { 10'000 }; ///< between two heartbeats that carry some records to a random local peer
    int suspectIntervals = 3; ///< heartbeats in a row that may be missed
    milliseconds suspectGrace { 500 };
    milliseconds goneAfter { 60'000 }; ///< silence of an instance that the platform no longer lists
    milliseconds forgetAfter { 600'000 }; ///< how long a member that is gone is remembered

    bool operator==(const membership_settings&) const = default;
};

} // namespace flamingoroute

#endif
