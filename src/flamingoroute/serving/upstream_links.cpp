#include "flamingoroute/serving/upstream_links.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t maxIdlePerUpstream = 8;

} // namespace

upstream_links::upstream_links(boost::asio::io_context& loop, std::string idHeader)
    : m_loop(loop)
    , m_idHeader(std::move(idHeader))
{
}

std::shared_ptr<client_connection> upstream_links::take(const listed_upstream& upstream, milliseconds longestIdle)
{
    auto& idle = m_idle[upstream.name];
    if (idle.address != upstream.address) {
        idle.address = upstream.address;
        idle.connections.clear();
    }
    std::erase_if(idle.connections, [](const auto& connection) { return !connection->isReusable(); });
    if (!idle.connections.empty() && monotonicNow() - idle.connections.back()->idleSince() <= longestIdle) {
        auto connection = idle.connections.back();
        idle.connections.pop_back();
        return connection;
    }
    ++m_opened;
    return std::make_shared<client_connection>(m_loop, upstream.address, m_idHeader);
}

void upstream_links::giveBack(const listed_upstream& upstream, std::shared_ptr<client_connection> connection)
{
    auto& idle = m_idle[upstream.name];
    const bool isKept
        = connection->isReusable() && idle.address == upstream.address && idle.connections.size() < maxIdlePerUpstream;
    if (isKept)
        idle.connections.push_back(std::move(connection));
}

void upstream_links::dropIdle(const upstream_id& upstream) { m_idle.erase(upstream); }

} // namespace flamingoroute
