#ifndef FLAMINGOROUTE_CONFIG_REPLICA_ACTION_HPP
#define FLAMINGOROUTE_CONFIG_REPLICA_ACTION_HPP

#include "flamingoroute/config/config_messages.hpp"
#include "flamingoroute/config/config_source.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/error.hpp"

#include <string>
#include <variant>
#include <vector>

namespace flamingoroute {

/// Actions that the caller of a replica must take. Sending may fail and messages may be lost: the replica repeats
/// offers at the gossip interval and retries fetches after a timeout.
struct send_offer {
    config_source to;
    config_offer offer;
    bool operator==(const send_offer&) const = default;
};

struct fetch_head {
    config_source from;
    std::string hash;
    bool operator==(const fetch_head&) const = default;
};

struct fetch_chunks {
    config_source from;
    std::vector<std::string> hashes;
    bool operator==(const fetch_chunks&) const = default;
};

struct send_content {
    config_source to;
    chunk_reply reply;
    bool operator==(const send_content&) const = default;
};

/// The configuration is now active.
struct adopt_configuration {
    configuration_ptr objects;
    config_position position;
    bool operator==(const adopt_configuration&) const = default;
};

/// A fault to report to operators; the replica ignored the faulty input and continued.
struct report_fault {
    error fault;
    bool operator==(const report_fault&) const = default;
};

using replica_action
    = std::variant<send_offer, fetch_head, fetch_chunks, send_content, adopt_configuration, report_fault>;
using replica_actions = std::vector<replica_action>;

} // namespace flamingoroute

#endif
