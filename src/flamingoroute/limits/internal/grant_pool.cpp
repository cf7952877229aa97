#include "flamingoroute/limits/internal/grant_pool.hpp"

#include <algorithm>

namespace flamingoroute {

void grant_pool::applyLease(monotonic_time now, const pool_lease& lease)
{
    if (lease.epoch < m_epoch || (lease.epoch == m_epoch && lease.tableVersion < m_tableVersion))
        return;
    const bool isNew = lease.epoch > m_epoch;
    if (isNew) {
        m_requesters.clear();
        m_orphanedGrants.clear();
        m_lastNumber = static_cast<std::uint64_t>(now.time_since_epoch().count());
        m_epoch = lease.epoch;
    }
    if (!isNew)
        expire(now);
    m_customer = lease.customer;
    m_tableVersion = lease.tableVersion;
    m_validUntil = monotonic_time(microseconds(lease.validUntilMicroseconds));
    if (isNew) {
        m_bucket = newBucket(now, lease);
        m_earlierGrantsUntil = lease.isFresh ? now : now + m_settings.grantLifetime + m_settings.maxClockDrift;
        m_earlierGrantsDepth = lease.pool.depth;
    }
    m_bucket.setShare(now, lease.pool, outstanding());
}

token_bucket grant_pool::newBucket(monotonic_time now, const pool_lease& lease) const
{
    token_bucket bucket;
    bucket.setShare(now, lease.pool);
    bucket.restart(lease.isFresh ? now : now + m_settings.grantLifetime + m_settings.maxClockDrift);
    if (lease.isFresh)
        bucket.putBack(lease.pool.depth);
    return bucket;
}

void grant_pool::onRequest(monotonic_time now, const instance_id& from, const share_request& request)
{
    if (request.epoch != m_epoch)
        return;
    auto& known = m_requesters[from];
    if (request.senderIncarnation < known.latest.senderIncarnation)
        return;
    if (request.senderIncarnation > known.latest.senderIncarnation) {
        m_orphanedGrants.insert(m_orphanedGrants.end(), known.grants.begin(), known.grants.end());
        known = requester {};
    }
    expire(now);
    settle(known, request);
    if (request.sequence <= known.latest.sequence)
        return;
    known.latest = request;
    known.receivedAt = now;
}

void grant_pool::settle(requester& from, const share_request& request)
{
    auto& grants = from.grants;
    for (auto& grant : grants) {
        if (grant.number == request.returnedGrant) {
            const int returned = std::min(request.returnedTokens, grant.unspent);
            grant.unspent = 0;
            m_bucket.putBack(returned);
        }
        if (grant.number == request.nextGrant)
            grant.unspent = std::min(grant.unspent, grant.granted - request.spentOfNext);
    }
    while (!grants.empty() && grants.front().number <= request.usedUpThrough)
        grants.pop_front();
}

void grant_pool::expire(monotonic_time now)
{
    for (auto& [name, known] : m_requesters) {
        while (!known.grants.empty() && known.grants.front().expiresAt <= now)
            known.grants.pop_front();
    }
    std::erase_if(m_orphanedGrants, [now](const open_grant& grant) { return grant.expiresAt <= now; });
    std::erase_if(m_requesters, [this, now](const auto& entry) {
        return entry.second.grants.empty() && entry.second.receivedAt + m_settings.idleTimeout < now
            && entry.second.receivedAt != monotonic_time {};
    });
    m_bucket.advance(now, outstanding());
}

int grant_pool::outstanding() const
{
    int sum = 0;
    for (const auto& [name, known] : m_requesters) {
        for (const auto& grant : known.grants)
            sum += grant.unspent;
    }
    for (const auto& grant : m_orphanedGrants)
        sum += grant.unspent;
    return sum;
}

bool grant_pool::tryTakeLocal(monotonic_time now)
{
    if (!isActive(now))
        return false;
    expire(now);
    const bool isAnyRequesterWaiting = std::any_of(m_requesters.begin(), m_requesters.end(),
        [this, now](const auto& entry) { return unmetWaiting(entry.second, now) > 0; });
    return !isAnyRequesterWaiting && m_bucket.tryTake(1);
}

int grant_pool::inFlight(const requester& from, monotonic_time now) const
{
    int sum = 0;
    for (const auto& grant : from.grants) {
        if (grant.number > from.latest.lastReceivedNumber && grant.grantedAt + m_settings.grantDeliveryTimeout > now)
            sum += grant.unspent;
    }
    return sum;
}

int grant_pool::unmetWaiting(const requester& from, monotonic_time now) const
{
    if (from.receivedAt + m_settings.maxWait < now)
        return 0;
    return std::max(0, from.latest.waiting - inFlight(from, now));
}

int grant_pool::unmetPredicted(const requester& from, monotonic_time now) const
{
    if (from.receivedAt + m_settings.maxWait < now)
        return 0;
    return std::max(0, from.latest.waiting + from.latest.predicted - inFlight(from, now));
}

share_grant grant_pool::issueGrant(requester& to, int tokens, monotonic_time now)
{
    const auto number = ++m_lastNumber;
    to.grants.push_back({ number, tokens, tokens, now, now + m_settings.grantLifetime + m_settings.maxClockDrift });
    return { m_customer, m_epoch, to.latest.senderIncarnation, to.latest.sequence, number, tokens };
}

std::vector<std::pair<instance_id, share_grant>> grant_pool::distribute(
    monotonic_time now, int localWaiting, int& localTokens)
{
    std::vector<std::pair<instance_id, share_grant>> grants;
    localTokens = 0;
    if (!isActive(now))
        return grants;
    expire(now);
    int totalWaiting = localWaiting;
    int totalPredicted = localWaiting;
    for (const auto& [name, known] : m_requesters) {
        totalWaiting += unmetWaiting(known, now);
        totalPredicted += unmetPredicted(known, now);
    }
    const int available = m_bucket.available();
    if (available == 0 || totalPredicted == 0)
        return grants;
    const bool isScarce = available < totalWaiting;
    const int spare = isScarce ? 0 : (available - totalWaiting) / 2;
    const auto shareOf = [&](int waiting, int predicted) {
        if (isScarce)
            return (waiting * available + totalWaiting - 1) / totalWaiting;
        return waiting
            + (totalPredicted == totalWaiting ? 0 : (predicted - waiting) * spare / (totalPredicted - totalWaiting));
    };
    localTokens = std::min(shareOf(localWaiting, localWaiting), localWaiting);
    m_bucket.tryTake(localTokens);
    for (auto& [name, known] : m_requesters) {
        const int waiting = unmetWaiting(known, now);
        const int predicted = unmetPredicted(known, now);
        const int tokens = std::min({ predicted, shareOf(waiting, predicted), m_bucket.available() });
        if (tokens > 0 && m_bucket.tryTake(tokens))
            grants.emplace_back(name, issueGrant(known, tokens, now));
    }
    return grants;
}

share grant_pool::shareInUse(monotonic_time now)
{
    expire(now);
    share inUse = m_bucket.currentShare();
    const int earlier = now < m_earlierGrantsUntil ? m_earlierGrantsDepth : 0;
    inUse.depth = std::max({ inUse.depth, outstanding(), earlier });
    return inUse;
}

} // namespace flamingoroute
