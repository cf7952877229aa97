#include "flamingoroute/serving/upstream_link.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Single upstreams fail, too.
constexpr std::size_t failuresToSuspect = 2;
/// Without any answer for this long while attempts are open, a check is due.
constexpr microseconds maxSilence { 700'000 };
constexpr int openAttemptsToSuspect = 2;
constexpr microseconds checkInterval { 500'000 };

} // namespace

void upstream_link::recordAttemptBegin(monotonic_time now)
{
    if (m_openAttempts++ == 0)
        m_busySince = now;
}

void upstream_link::recordAttemptEnd() { m_openAttempts = std::max(0, m_openAttempts - 1); }

void upstream_link::recordConnected(monotonic_time now)
{
    m_unreachable.clear();
    m_lost.clear();
    m_lastConnectedAt = now;
    m_lastReachedAt = now;
}

void upstream_link::recordAnswer(monotonic_time now)
{
    m_lost.clear();
    m_lastReachedAt = now;
}

bool upstream_link::isSilent(monotonic_time now) const
{
    return m_openAttempts >= openAttemptsToSuspect && now - std::max(m_busySince, m_lastReachedAt) >= maxSilence;
}

bool upstream_link::isCheckDue(monotonic_time now) const
{
    return !m_isChecking && now >= m_nextCheckAt && (isSuspect() || isSilent(now));
}

void upstream_link::beginCheck(monotonic_time now)
{
    m_isChecking = true;
    m_nextCheckAt = now + checkInterval;
}

void upstream_link::recordCheck(bool hasConnected, monotonic_time now)
{
    m_isChecking = false;
    m_isPartitioned = !hasConnected;
    if (hasConnected)
        recordConnected(now);
}

bool upstream_link::isSuspect() const
{
    return m_isPartitioned || m_unreachable.size() >= failuresToSuspect || m_lost.size() >= failuresToSuspect;
}

} // namespace flamingoroute
