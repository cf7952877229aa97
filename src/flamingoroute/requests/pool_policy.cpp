#include "flamingoroute/requests/pool_policy.hpp"

#include <algorithm>

namespace flamingoroute {

pool_policy::pool_policy(pool_limits limits)
    : m_limits(limits)
    , m_earlyRetries(limits.earlyRetryBurst)
{
}

idle_connection_use pool_policy::classify(monotonic_time lastAnswerAt, bool isRepeatable, monotonic_time now) const
{
    const auto idle = now - lastAnswerAt;
    if (idle > m_limits.maxIdle || lastAnswerAt < m_staleBefore)
        return idle_connection_use::close;
    if (isRepeatable)
        return idle_connection_use::use_with_early_retry;
    return idle <= m_limits.trustedIdle ? idle_connection_use::use : idle_connection_use::skip;
}

void pool_policy::recordUnresponsive(monotonic_time startedAt) { m_staleBefore = std::max(m_staleBefore, startedAt); }

void pool_policy::recordExchange()
{
    m_earlyRetries = std::min(m_limits.earlyRetryBurst, m_earlyRetries + m_limits.earlyRetryShare);
}

bool pool_policy::takeEarlyRetry()
{
    if (m_earlyRetries < 1)
        return false;
    m_earlyRetries -= 1;
    return true;
}

} // namespace flamingoroute
