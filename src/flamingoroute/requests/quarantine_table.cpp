#include "flamingoroute/requests/quarantine_table.hpp"

#include <algorithm>

namespace flamingoroute {

quarantine_table::quarantine_table(quarantine_limits limits)
    : m_limits(limits)
{
}

bool quarantine_table::noteBroken(
    const std::string& fingerprint, const upstream_id& target, microseconds age, monotonic_time now)
{
    if (age >= m_limits.memory)
        return false;
    forgetOld(now);
    if (!m_entries.contains(fingerprint))
        makeRoom();
    auto& known = m_entries[fingerprint];
    const auto brokenAt = now - age;
    auto [found, isNew] = known.broken.try_emplace(target, brokenAt);
    found->second = std::max(found->second, brokenAt);
    known.lastBroken = std::max(known.lastBroken, brokenAt);
    if (known.broken.size() >= m_limits.upstreamsToQuarantine)
        known.quarantinedUntil = std::max(known.quarantinedUntil, known.lastBroken + m_limits.duration);
    return isNew;
}

void quarantine_table::noteAnswered(const std::string& fingerprint, monotonic_time now)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && found->second.quarantinedUntil <= now)
        m_entries.erase(found);
}

std::optional<microseconds> quarantine_table::quarantinedFor(const std::string& fingerprint, monotonic_time now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.quarantinedUntil <= now)
        return std::nullopt;
    return found->second.quarantinedUntil - now;
}

void quarantine_table::forgetOld(monotonic_time now)
{
    for (auto& [fingerprint, known] : m_entries)
        std::erase_if(known.broken, [&](const auto& one) { return one.second + m_limits.memory <= now; });
    std::erase_if(
        m_entries, [&](const auto& item) { return item.second.quarantinedUntil <= now && item.second.broken.empty(); });
}

void quarantine_table::makeRoom()
{
    if (m_entries.size() < m_limits.maxFingerprints)
        return;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
        [](const auto& left, const auto& right) { return left.second.lastBroken < right.second.lastBroken; });
    m_entries.erase(oldest);
}

} // namespace flamingoroute
