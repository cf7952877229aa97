#ifndef FLAMINGOROUTE_FLEET_FORWARDED_MESSAGE_HPP
#define FLAMINGOROUTE_FLEET_FORWARDED_MESSAGE_HPP

#include "flamingoroute/fleet/member_range.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// A message that its receiver handles and forwards to the instances of a range.
struct forwarded_message {
    member_range range;
    std::uint8_t hopsLeft = 0; ///< how often it may be forwarded; bounds what a malformed message can cause
    std::uint32_t turn = 0; ///< varies which instances forward, from message to message
    std::uint8_t kind = 0; ///< of the message inside
    std::string body; ///< of the message inside

    bool operator==(const forwarded_message&) const = default;
    MSGPACK_DEFINE(range, hopsLeft, turn, kind, body)
};

} // namespace flamingoroute

#endif
