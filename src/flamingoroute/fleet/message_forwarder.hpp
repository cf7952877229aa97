#ifndef FLAMINGOROUTE_FLEET_MESSAGE_FORWARDER_HPP
#define FLAMINGOROUTE_FLEET_MESSAGE_FORWARDER_HPP

#include "flamingoroute/fleet/forwarding.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace flamingoroute {

class fleet_members;
struct forwarded_message;

/// Sends messages to all instances of the region, most of which get them from others. Pure but for its hook.
class message_forwarder {
public:
    /// Sends one copy.
    /// @param kind of the message inside
    using plain_hook = std::function<void(const endpoint& to, std::uint8_t kind, const std::string& body)>;
    /// Sends one copy to an instance that forwards it.
    using forwarded_hook = std::function<void(const endpoint& to, const forwarded_message& message)>;

    /// @param members must outlive the forwarder
    message_forwarder(const fleet_members& members, plain_hook sendPlain, forwarded_hook sendForwarded);

    void sendToRegion(std::uint8_t kind, const std::string& body, monotonic_time now);

    /// Sends the copies that a received message asks for.
    /// @param from the instance that sent it to this one
    void forward(const forwarded_message& message, const instance_id& from, monotonic_time now);

private:
    void sendCopies(const std::vector<forward_branch>& branches, forwarded_message message);

    const fleet_members& m_members;
    plain_hook m_sendPlain;
    forwarded_hook m_sendForwarded;
    std::uint32_t m_turn = 0;
};

} // namespace flamingoroute

#endif
