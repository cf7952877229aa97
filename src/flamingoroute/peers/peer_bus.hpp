#ifndef FLAMINGOROUTE_PEERS_PEER_BUS_HPP
#define FLAMINGOROUTE_PEERS_PEER_BUS_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace flamingoroute {

/// Sends and receives envelopes over nng. Messages may be lost, delayed or, after a reconnect, reordered;
/// messages to a peer that does not read them are dropped, without delaying other peers.
class peer_bus {
public:
    /// Called on the receiving thread for each message; must not block.
    using message_handler = std::function<void(const envelope&)>;

    /// @param localInstance the sender, part of each message
    /// @param role the sending process
    /// @param localIncarnation the sender's incarnation, part of each message
    peer_bus(instance_id localInstance, process_role role, incarnation localIncarnation);
    ~peer_bus();
    peer_bus(const peer_bus&) = delete;
    peer_bus& operator=(const peer_bus&) = delete;

    /// Starts receiving.
    /// @param where the address to listen on
    /// @param handler called for each message
    /// @return `conflict` if the address is in use by another process, `unavailable` if it cannot be used at all; the
    ///         call may be repeated after both
    tl::expected<void, error> listen(const endpoint& where, message_handler handler);

    /// Sends without blocking. Thread-safe.
    /// @param to the receiving process
    /// @param kind the type of @p body
    /// @param body msgpack
    /// @return false if the message was dropped
    bool send(const endpoint& to, message_kind kind, std::string body);

    /// @return number of messages dropped since the start because a peer did not read them
    std::uint64_t droppedCount() const;

    /// Stops receiving and closes all connections.
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
