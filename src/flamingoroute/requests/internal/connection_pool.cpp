#include "flamingoroute/requests/internal/connection_pool.hpp"

#include <algorithm>

namespace flamingoroute::internal {

connection_pool::connection_pool(int maxConnections, pool_limits limits)
    : m_maxConnections(maxConnections)
    , m_policy(limits)
{
}

std::unique_ptr<upstream_connection> connection_pool::takeIdle(bool isRepeatable, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()) {
        const auto use = m_policy.classify(m_idle.back()->lastAnswerAt(), isRepeatable, now);
        if (use == idle_connection_use::skip)
            return nullptr;
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (use != idle_connection_use::close && connection->isReusable())
            return connection;
        --m_openCount;
    }
    return nullptr;
}

bool connection_pool::reserve()
{
    const std::lock_guard lock(m_mutex);
    if (m_openCount >= m_maxConnections && !m_idle.empty()) {
        m_idle.erase(m_idle.begin());
        --m_openCount;
    }
    if (m_openCount >= m_maxConnections)
        return false;
    ++m_openCount;
    return true;
}

void connection_pool::countClosed()
{
    const std::lock_guard lock(m_mutex);
    --m_openCount;
}

void connection_pool::putIdle(std::unique_ptr<upstream_connection> connection)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(connection));
}

void connection_pool::closeStale(monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    closeStaleLocked(now);
}

void connection_pool::recordUnresponsive(monotonic_time startedAt, monotonic_time now)
{
    const std::lock_guard lock(m_mutex);
    m_policy.recordUnresponsive(startedAt);
    closeStaleLocked(now);
}

void connection_pool::closeStaleLocked(monotonic_time now)
{
    const auto closed = std::erase_if(m_idle, [&](const auto& connection) {
        return m_policy.classify(connection->lastAnswerAt(), true, now) == idle_connection_use::close;
    });
    m_openCount -= static_cast<int>(closed);
}

void connection_pool::recordExchange()
{
    const std::lock_guard lock(m_mutex);
    m_policy.recordExchange();
}

bool connection_pool::takeEarlyRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_policy.takeEarlyRetry();
}

int connection_pool::openCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_openCount;
}

} // namespace flamingoroute::internal
