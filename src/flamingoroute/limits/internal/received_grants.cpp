#include "flamingoroute/limits/internal/received_grants.hpp"

#include <algorithm>

namespace flamingoroute {

void received_grants::changeEpoch(std::uint64_t epoch)
{
    if (epoch <= m_epoch)
        return;
    m_earlier.insert(m_earlier.end(), m_grants.begin(), m_grants.end());
    m_grants.clear();
    m_sent.clear();
    m_lastReceivedNumber = 0;
    m_hasUnreported = false;
    m_epoch = epoch;
}

bool received_grants::accept(monotonic_time now, const share_grant& grant)
{
    expire(now);
    if (grant.epoch != m_epoch || grant.receiverIncarnation != m_incarnation || grant.number <= m_lastReceivedNumber)
        return false;
    const auto request = std::find_if(m_sent.begin(), m_sent.end(),
        [&grant](const sent_request& sent) { return sent.sequence == grant.requestSequence; });
    if (request == m_sent.end())
        return false;
    m_lastReceivedNumber = grant.number;
    m_grants.push_back({ grant.number, grant.tokens, grant.tokens, request->sentAt });
    m_hasUnreported = true;
    return true;
}

void received_grants::expire(monotonic_time now)
{
    const auto isSpentOrExpired = [this, now](const received_grant& grant) {
        return grant.remaining <= 0 || grant.requestedAt + m_settings.grantLifetime <= now;
    };
    // Grants are reported as used up in ascending order; a later one stays in the queue until all earlier ones are used
    // up.
    for (auto& grant : m_grants) {
        if (isSpentOrExpired(grant))
            grant.remaining = 0;
    }
    while (!m_grants.empty() && m_grants.front().remaining == 0) {
        m_grants.pop_front();
        m_hasUnreported = true;
    }
    std::erase_if(m_earlier, isSpentOrExpired);
    while (!m_sent.empty() && m_sent.front().sentAt + m_settings.grantLifetime <= now)
        m_sent.pop_front();
}

bool received_grants::trySpend(monotonic_time now)
{
    expire(now);
    for (auto* grants : { &m_earlier, &m_grants }) {
        for (auto& grant : *grants) {
            if (grant.remaining > 0) {
                --grant.remaining;
                m_hasUnreported = true;
                return true;
            }
        }
    }
    return false;
}

int received_grants::available(monotonic_time now)
{
    expire(now);
    int sum = 0;
    for (const auto& grant : m_earlier)
        sum += grant.remaining;
    for (const auto& grant : m_grants)
        sum += grant.remaining;
    return sum;
}

void received_grants::returnOldestIfStale(monotonic_time now, share_request& request)
{
    if (m_grants.empty() || m_grants.front().requestedAt + m_settings.grantLifetime / 2 > now)
        return;
    request.returnedGrant = m_grants.front().number;
    request.returnedTokens = m_grants.front().remaining;
    m_grants.pop_front();
}

share_request received_grants::makeRequest(monotonic_time now, int waitingTokens, int predictedTokens)
{
    expire(now);
    share_request request;
    request.epoch = m_epoch;
    request.senderIncarnation = m_incarnation;
    request.sequence = ++m_sequence;
    request.waiting = waitingTokens;
    request.predicted = predictedTokens;
    request.lastReceivedNumber = m_lastReceivedNumber;
    if (waitingTokens == 0)
        returnOldestIfStale(now, request);
    while (!m_grants.empty() && m_grants.front().remaining == 0)
        m_grants.pop_front();
    request.usedUpThrough = m_grants.empty() ? m_lastReceivedNumber : m_grants.front().number - 1;
    if (!m_grants.empty()) {
        request.nextGrant = m_grants.front().number;
        request.spentOfNext = m_grants.front().granted - m_grants.front().remaining;
    }
    m_sent.push_back({ request.sequence, now });
    m_hasUnreported = !m_grants.empty();
    return request;
}

} // namespace flamingoroute
