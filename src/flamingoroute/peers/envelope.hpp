#ifndef FLAMINGOROUTE_PEERS_ENVELOPE_HPP
#define FLAMINGOROUTE_PEERS_ENVELOPE_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Which of an instance's processes a message comes from.
enum class process_role : std::uint8_t {
    entry,
    control,
};

/// The kinds of messages between processes of the system. Numbers are part of the protocol and never reused.
enum class message_kind : std::uint8_t {
    heartbeat = 1,
    config_offer = 2,
    chunk_request = 3,
    chunk_reply = 4,
    head_request = 5,
    key_withdrawal = 6,
    share_request = 10,
    share_grant = 11,
    share_return = 12,
    share_table = 13,
    lease_notice = 14,
    slot_request = 20,
    slot_grant = 21,
    slot_return = 22,
    move_observation = 30,
    quarantine_notice = 40,
    usage_report = 50,
    burn_usage = 51,
    fleet_report = 60,
    region_digest = 61,
    store_batch = 62,
    quarantine_forward = 63,
    forwarded = 64,
};

/// A message between two processes of the system.
/// The receiver drops messages of an incarnation lower than the highest it has received from the same process.
struct envelope {
    instance_id from;
    process_role role = process_role::entry;
    incarnation fromIncarnation = 0;
    std::uint64_t sequence = 0;
    message_kind kind = message_kind::heartbeat;
    std::string body; ///< msgpack, of the type that belongs to the kind

    bool operator==(const envelope&) const = default;
};

} // namespace flamingoroute

#endif
