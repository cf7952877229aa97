#ifndef FLAMINGOROUTE_PEERS_MESSAGE_SENDER_HPP
#define FLAMINGOROUTE_PEERS_MESSAGE_SENDER_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <functional>
#include <string>

namespace flamingoroute {

/// Sends a message to a process of an instance without blocking. The message may be lost, delayed or duplicated.
using message_sender
    = std::function<void(const instance_id& to, process_role role, message_kind kind, std::string body)>;

} // namespace flamingoroute

#endif
