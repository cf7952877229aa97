#ifndef FLAMINGOROUTE_PROXY_HTTP_LISTENER_HPP
#define FLAMINGOROUTE_PROXY_HTTP_LISTENER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/proxy/caller_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace flamingoroute {

struct error;

/// Accepts connections and serves HTTP on them.
class http_listener {
public:
    /// @param handler called for each request
    /// @param limits called at the start of each request
    /// @param bodies decides which bodies are read; default: each body within the limits
    http_listener(boost::asio::io_context& loop, caller_connection::request_handler handler,
        caller_connection::limits_query limits, body_policy bodies = {});

    /// Starts accepting connections.
    /// @param maxConnections maximum number of open connections; for a further one the connection that has been idle
    ///        for longest is closed, or the new one if none is idle
    /// @return `conflict` if the address is in use by another process, `unavailable` if it cannot be used at all; the
    ///         call may be repeated after both
    tl::expected<void, error> listen(const endpoint& where, std::size_t maxConnections);

    /// Stops accepting connections.
    void stopAccepting();

    /// Closes each connection after its pending answers.
    void drainConnections();

    /// @return whether any connection has pending answers
    bool isBusy() const;

    /// @return the number of open connections
    std::size_t connectionCount() const;

    /// @return connections closed for want of room, old and new ones
    std::uint64_t refusedCount() const { return m_refused; }

private:
    void accept();
    void serveConnection(boost::asio::ip::tcp::socket socket);
    void removeClosed();
    bool closeLongestIdle();

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    caller_connection::request_handler m_handler;
    caller_connection::limits_query m_limits;
    std::shared_ptr<const body_policy> m_bodies;
    std::size_t m_maxConnections = 0;
    std::uint64_t m_refused = 0;
    std::vector<std::weak_ptr<caller_connection>> m_connections;
    std::size_t m_cleanupThreshold = 64;
};

} // namespace flamingoroute

#endif
