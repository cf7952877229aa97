#include "flamingoroute/proxy/body_budget.hpp"

#include "flamingoroute/proxy/body_lease.hpp"

#include <algorithm>
#include <utility>

namespace flamingoroute {

namespace {

/// Part of the memory that one owner cannot occupy with several bodies.
constexpr std::size_t reserveDivisor = 4;
/// A body that grows by less than this within the time below counts as slow.
constexpr std::size_t minProgressBytes = 16384;
constexpr milliseconds minProgressTime { 1000 };

} // namespace

body_budget::body_budget(std::size_t limit)
    : m_limit(limit)
{
}

std::unique_ptr<body_lease> body_budget::open(const std::string& owner, monotonic_time now, std::function<void()> evict)
{
    auto lease = std::make_unique<body_lease>(shared_from_this(), owner, now, std::move(evict));
    m_open.push_back(lease.get());
    return lease;
}

bool body_budget::grow(body_lease& lease, std::size_t bytes, monotonic_time now)
{
    while (!fits(lease, bytes)) {
        auto* victim = findVictim(lease, bytes, now);
        if (victim == nullptr)
            return false;
        const auto evict = std::exchange(victim->m_evict, nullptr);
        evict();
    }
    add(lease, bytes);
    if (lease.m_bytes - lease.m_markedBytes >= minProgressBytes) {
        lease.m_markedBytes = lease.m_bytes;
        lease.m_markedAt = now;
    }
    return true;
}

bool body_budget::fits(const body_lease& lease, std::size_t bytes) const
{
    return bytes <= m_limit - m_used && fitsOwner(lease, bytes);
}

bool body_budget::fitsOwner(const body_lease& lease, std::size_t bytes) const
{
    const auto found = m_owners.find(lease.m_owner);
    const auto use = found == m_owners.end() ? owner_use {} : found->second;
    const bool isOnlyBody = use.bytes == lease.m_bytes;
    return isOnlyBody || use.bytes + bytes <= m_limit - m_limit / reserveDivisor;
}

body_lease* body_budget::findVictim(const body_lease& forLease, std::size_t bytes, monotonic_time now) const
{
    // Bodies of other owners are not evicted for one that its owner's limit refuses anyway.
    const bool isOwnerFull = !fitsOwner(forLease, bytes);
    if (auto* slowest = slowestOf(forLease, isOwnerFull, now))
        return slowest;
    return isOwnerFull ? nullptr : newestOfLargestOwner(forLease, bytes);
}

body_lease* body_budget::slowestOf(const body_lease& forLease, bool isSameOwner, monotonic_time now) const
{
    body_lease* slowest = nullptr;
    for (auto* each : m_open) {
        const bool isSlow = each->m_evict && each->m_bytes > 0 && now - each->m_markedAt >= minProgressTime;
        const bool isEligible = each != &forLease && (!isSameOwner || each->m_owner == forLease.m_owner);
        if (isEligible && isSlow && (slowest == nullptr || each->m_markedAt < slowest->m_markedAt))
            slowest = each;
    }
    return slowest;
}

body_lease* body_budget::newestOfLargestOwner(const body_lease& forLease, std::size_t bytes) const
{
    const auto largest = std::max_element(m_owners.begin(), m_owners.end(),
        [](const auto& left, const auto& right) { return left.second.bytes < right.second.bytes; });
    if (largest == m_owners.end() || largest->first == forLease.m_owner)
        return nullptr;
    const auto found = m_owners.find(forLease.m_owner);
    const auto ownBytes = (found == m_owners.end() ? 0 : found->second.bytes) + bytes;
    const auto owners = m_owners.size() + (found == m_owners.end() ? 1 : 0);
    if (ownBytes > m_limit / owners || largest->second.bytes <= m_limit / owners)
        return nullptr;
    const auto newest = std::find_if(m_open.rbegin(), m_open.rend(),
        [&](const auto* each) { return each->m_evict && each->m_bytes > 0 && each->m_owner == largest->first; });
    return newest == m_open.rend() ? nullptr : *newest;
}

void body_budget::add(body_lease& lease, std::size_t bytes)
{
    if (bytes == 0)
        return;
    auto& use = m_owners[lease.m_owner];
    use.bodies += lease.m_bytes == 0 ? 1 : 0;
    use.bytes += bytes;
    lease.m_bytes += bytes;
    m_used += bytes;
}

void body_budget::remove(body_lease& lease)
{
    if (lease.m_bytes == 0)
        return;
    const auto found = m_owners.find(lease.m_owner);
    found->second.bytes -= lease.m_bytes;
    if (--found->second.bodies == 0)
        m_owners.erase(found);
    m_used -= std::exchange(lease.m_bytes, 0);
}

} // namespace flamingoroute
