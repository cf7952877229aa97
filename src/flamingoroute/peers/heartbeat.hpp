#ifndef FLAMINGOROUTE_PEERS_HEARTBEAT_HPP
#define FLAMINGOROUTE_PEERS_HEARTBEAT_HPP

#include "flamingoroute/peers/member_record.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace flamingoroute {

/// Body of `heartbeat`. Sender, role and incarnation are those of the envelope.
struct heartbeat {
    static constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();

    revision configRevision = 0; ///< of the active configuration at the sender
    std::uint32_t intervalMs = 0; ///< until the sender's next heartbeat
    std::uint32_t platformAgeMs = unknownAge; ///< time since the platform last showed the revision to be its newest
    bool isLeaving = false;
    bool isRecordsRequested = false; ///< the receiver replies with all its records
    std::vector<member_record> records; ///< of the sender and other members; usually empty

    bool operator==(const heartbeat&) const = default;
    MSGPACK_DEFINE(configRevision, intervalMs, platformAgeMs, isLeaving, isRecordsRequested, records)
};

} // namespace flamingoroute

#endif
