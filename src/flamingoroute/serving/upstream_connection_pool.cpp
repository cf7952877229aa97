#include "flamingoroute/serving/upstream_connection_pool.hpp"

#include "flamingoroute/proxy/byte_budget.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t maxIdlePerUpstream = 8;

} // namespace

upstream_connection_pool::upstream_connection_pool(
    boost::asio::io_context& loop, std::string idHeader, std::size_t maxAnswerBytes)
    : m_loop(loop)
    , m_idHeader(std::move(idHeader))
    , m_answerBytes(std::make_shared<byte_budget>(maxAnswerBytes))
{
}

std::shared_ptr<client_connection> upstream_connection_pool::acquire(
    const registered_upstream& upstream, milliseconds maxIdleTime)
{
    auto& idle = m_idle[upstream.name];
    if (idle.address != upstream.address) {
        idle.address = upstream.address;
        idle.connections.clear();
    }
    std::erase_if(idle.connections, [](const auto& connection) { return !connection->isReusable(); });
    if (!idle.connections.empty() && monotonicNow() - idle.connections.back()->idleSince() <= maxIdleTime) {
        auto connection = idle.connections.back();
        idle.connections.pop_back();
        return connection;
    }
    ++m_opened;
    return std::make_shared<client_connection>(m_loop, upstream.address, m_idHeader, m_answerBytes);
}

void upstream_connection_pool::release(
    const registered_upstream& upstream, std::shared_ptr<client_connection> connection)
{
    auto& idle = m_idle[upstream.name];
    const bool isKept
        = connection->isReusable() && idle.address == upstream.address && idle.connections.size() < maxIdlePerUpstream;
    if (isKept)
        idle.connections.push_back(std::move(connection));
}

void upstream_connection_pool::dropIdle(const upstream_id& upstream) { m_idle.erase(upstream); }

} // namespace flamingoroute
