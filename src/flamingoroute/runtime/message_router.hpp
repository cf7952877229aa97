#ifndef FLAMINGOROUTE_RUNTIME_MESSAGE_ROUTER_HPP
#define FLAMINGOROUTE_RUNTIME_MESSAGE_ROUTER_HPP

#include "flamingoroute/peers/envelope.hpp"

#include <array>
#include <functional>

namespace flamingoroute {

/// Dispatches each received message to the handler of its kind. Filled before the bus listens, read-only afterwards.
class message_router {
public:
    /// Must not block; posts to a ring.
    using message_handler = std::function<void(const envelope&)>;

    /// Sets the handler for @p kind, replacing an earlier one.
    void on(message_kind kind, message_handler handler)
    {
        m_handlers[static_cast<std::uint8_t>(kind)] = std::move(handler);
    }

    /// @return false if no handler is set for messages of this kind
    bool route(const envelope& message) const
    {
        const auto& handler = m_handlers[static_cast<std::uint8_t>(message.kind)];
        if (!handler)
            return false;
        handler(message);
        return true;
    }

private:
    std::array<message_handler, 256> m_handlers;
};

} // namespace flamingoroute

#endif
