#ifndef FLAMINGOROUTE_STEERING_STEERING_MESSAGE_HPP
#define FLAMINGOROUTE_STEERING_STEERING_MESSAGE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <string>

namespace flamingoroute {

/// A message to be sent to the entry process of an instance.
struct steering_message {
    instance_id to;
    message_kind kind = message_kind::slot_request;
    std::string body;

    bool operator==(const steering_message&) const = default;
};

} // namespace flamingoroute

#endif
