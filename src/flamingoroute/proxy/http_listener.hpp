#ifndef FLAMINGOROUTE_PROXY_HTTP_LISTENER_HPP
#define FLAMINGOROUTE_PROXY_HTTP_LISTENER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/proxy/caller_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <memory>
#include <vector>

namespace flamingoroute {

struct error;

/// Accepts connections and serves HTTP on them.
class http_listener {
public:
    /// @param handler called for each request
    /// @param limits asked at the start of each request
    http_listener(boost::asio::io_context& loop, caller_connection::request_handler handler,
        caller_connection::limits_query limits);

    /// Starts to accept.
    /// @param maxConnections connections held at one time; more are closed at once
    /// @return `unavailable` if the address cannot be used
    tl::expected<void, error> listen(const endpoint& where, std::size_t maxConnections);

    /// Accepts no more connections.
    void stopAccepting();

    /// Ends each connection behind the answers that are due.
    void drainConnections();

    /// @return whether any connection still owes an answer
    bool isBusy() const;

    /// @return connections that are open
    std::size_t connectionCount() const;

private:
    void accept();
    void adopt(boost::asio::ip::tcp::socket socket);
    void forgetClosed();

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    caller_connection::request_handler m_handler;
    caller_connection::limits_query m_limits;
    std::size_t m_maxConnections = 0;
    std::vector<std::weak_ptr<caller_connection>> m_connections;
    std::size_t m_forgetAbove = 64;
};

} // namespace flamingoroute

#endif
