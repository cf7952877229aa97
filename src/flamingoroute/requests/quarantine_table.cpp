#include "flamingoroute/requests/quarantine_table.hpp"

#include <algorithm>
#include <functional>

namespace flamingoroute {

namespace {

/// Going through all entries costs more than keeping some for this much longer.
constexpr microseconds evictionInterval { 1'000'000 };

} // namespace

quarantine_table::quarantine_table(quarantine_limits limits)
    : m_limits(limits)
    , m_answered(std::max<std::size_t>(1, limits.answersKept))
{
}

bool quarantine_table::recordBroken(
    const std::string& fingerprint, const upstream_id& target, microseconds age, monotonic_time now)
{
    if (age >= m_limits.retention)
        return false;
    evictExpired(now);
    if (!m_entries.contains(fingerprint))
        evictOldestIfFull();
    auto& known = m_entries[fingerprint];
    const auto brokenAt = now - age;
    auto [found, isNew] = known.broken.try_emplace(target, brokenAt);
    if (isNew)
        known.lastBroken = std::max(known.lastBroken, brokenAt);
    const auto needed = upstreamsNeeded(fingerprint, now);
    const auto count = known.countBroken();
    if (isNew && count >= needed) {
        const auto duration = count == needed ? m_limits.firstDuration : m_limits.duration;
        known.quarantinedUntil = std::max(known.quarantinedUntil, known.lastBroken + duration);
    }
    return isNew;
}

bool quarantine_table::recordAnswered(const std::string& fingerprint, monotonic_time now)
{
    const auto hash = std::hash<std::string> {}(fingerprint);
    answeredSlot(hash) = { hash, now };
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.quarantinedUntil > now)
        return false;
    const bool shouldForward = found->second.countBroken() > 0;
    found->second.answeredAt = now;
    return shouldForward;
}

std::size_t quarantine_table::entry::countBroken() const
{
    return std::count_if(broken.begin(), broken.end(), [this](const auto& one) { return one.second > answeredAt; });
}

std::size_t quarantine_table::upstreamsNeeded(const std::string& fingerprint, monotonic_time now)
{
    const auto hash = std::hash<std::string> {}(fingerprint);
    const auto& last = answeredSlot(hash);
    const bool isAnswered = last.hash == hash && last.at > monotonic_time::min() && now - last.at < m_limits.retention;
    return isAnswered ? m_limits.upstreamsIfAnswered : m_limits.upstreamsToQuarantine;
}

std::optional<microseconds> quarantine_table::quarantinedFor(const std::string& fingerprint, monotonic_time now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.quarantinedUntil <= now)
        return std::nullopt;
    return found->second.quarantinedUntil - now;
}

std::vector<quarantine_notice> quarantine_table::brokenAttempts(
    const std::string& fingerprint, monotonic_time now) const
{
    std::vector<quarantine_notice> result;
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return result;
    for (const auto& [upstream, brokenAt] : found->second.broken) {
        if (brokenAt <= found->second.answeredAt)
            continue;
        const auto age = std::chrono::duration_cast<milliseconds>(now - brokenAt);
        result.push_back({ fingerprint, upstream.value(), static_cast<std::uint32_t>(age.count()) });
    }
    return result;
}

void quarantine_table::evictExpired(monotonic_time now)
{
    if (now < m_nextEviction)
        return;
    m_nextEviction = now + evictionInterval;
    for (auto& [fingerprint, known] : m_entries)
        std::erase_if(known.broken, [&](const auto& one) { return one.second + m_limits.retention <= now; });
    std::erase_if(
        m_entries, [&](const auto& item) { return item.second.quarantinedUntil <= now && item.second.broken.empty(); });
}

void quarantine_table::evictOldestIfFull()
{
    if (m_entries.size() < m_limits.maxFingerprints)
        return;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
        [](const auto& left, const auto& right) { return left.second.lastBroken < right.second.lastBroken; });
    m_entries.erase(oldest);
}

} // namespace flamingoroute
