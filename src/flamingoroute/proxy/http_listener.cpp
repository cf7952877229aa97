#include "flamingoroute/proxy/http_listener.hpp"

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/report/event_log.hpp"

#include <algorithm>

namespace flamingoroute {

namespace asio = boost::asio;
using socket_error = boost::system::error_code;

namespace {

constexpr int acceptBacklog = 512;
/// Accepting fails mostly for lack of file descriptors; some are usually released soon.
constexpr milliseconds acceptRetryDelay { 20 };

} // namespace

http_listener::http_listener(asio::io_context& loop, caller_connection::request_handler handler,
    caller_connection::limits_query limits, body_policy bodies)
    : m_loop(loop)
    , m_acceptor(loop)
    , m_acceptRetryTimer(loop)
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_bodies(std::make_shared<const body_policy>(std::move(bodies)))
{
}

tl::expected<void, error> http_listener::listen(const endpoint& where, std::size_t maxConnections)
{
    m_maxConnections = maxConnections;
    socket_error problem;
    const auto address = asio::ip::make_address(where.address, problem);
    const asio::ip::tcp::endpoint local(address, where.port);
    if (!problem)
        m_acceptor.open(local.protocol(), problem);
    if (!problem)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), problem);
    if (!problem)
        m_acceptor.bind(local, problem);
    if (!problem)
        m_acceptor.listen(acceptBacklog, problem);
    if (problem) {
        const bool isInUse = problem == asio::error::address_in_use;
        stopAccepting();
        return tl::unexpected(error { isInUse ? error_code::conflict : error_code::unavailable, "http.listen",
            toString(where), problem.message() });
    }
    accept();
    return {};
}

void http_listener::accept()
{
    m_acceptor.async_accept([this](const socket_error& problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!problem) {
            serveConnection(std::move(socket));
            accept();
            return;
        }
        event_line(log_level::warn, "http.accept_failed").with("detail", problem.message());
        m_acceptRetryTimer.expires_after(acceptRetryDelay);
        m_acceptRetryTimer.async_wait([this](const socket_error& cancelled) {
            if (!cancelled)
                accept();
        });
    });
}

void http_listener::serveConnection(asio::ip::tcp::socket socket)
{
    if (m_connections.size() >= std::min(m_cleanupThreshold, m_maxConnections))
        removeClosed();
    if (m_connections.size() >= m_maxConnections) {
        ++m_refused;
        const bool hasRoom = closeLongestIdle();
        event_line(log_level::warn, hasRoom ? "http.connection_closed" : "http.connection_refused")
            .with("reason", "too_many_connections")
            .with("limit", m_maxConnections);
        if (!hasRoom)
            return;
    }
    auto connection = std::make_shared<caller_connection>(std::move(socket), m_handler, m_limits, m_bodies);
    m_connections.push_back(connection);
    connection->start();
}

bool http_listener::closeLongestIdle()
{
    std::shared_ptr<caller_connection> longest;
    for (const auto& weak : m_connections) {
        const auto connection = weak.lock();
        const bool isLonger = connection && !connection->isClosed() && connection->isIdle()
            && (!longest || connection->lastActivity() < longest->lastActivity());
        if (isLonger)
            longest = connection;
    }
    if (!longest)
        return false;
    longest->abort();
    removeClosed();
    return true;
}

void http_listener::removeClosed()
{
    constexpr std::size_t minCleanupThreshold = 64;
    std::erase_if(m_connections, [](const auto& weak) {
        const auto connection = weak.lock();
        return !connection || connection->isClosed();
    });
    m_cleanupThreshold = std::max(minCleanupThreshold, 2 * m_connections.size());
}

void http_listener::stopAccepting()
{
    socket_error ignored;
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
}

void http_listener::drainConnections()
{
    for (const auto& weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->closeWhenIdle();
    }
}

bool http_listener::isBusy() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto& weak) {
        const auto connection = weak.lock();
        return connection && !connection->isClosed() && connection->isBusy();
    });
}

std::size_t http_listener::connectionCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& weak) {
        const auto connection = weak.lock();
        return connection && !connection->isClosed();
    }));
}

} // namespace flamingoroute
