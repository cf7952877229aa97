#include "flamingoroute/moves/confirmation_tracker.hpp"

namespace flamingoroute {

void confirmation_tracker::record(const instance_id& from, std::int64_t steppedAtUnixMs, monotonic_time now)
{
    m_confirmations[from] = { steppedAtUnixMs, now };
}

bool confirmation_tracker::isConfirmed(
    const std::vector<instance_id>& members, std::int64_t steppedAtUnixMs, monotonic_time now) const
{
    const auto settleTime = m_settings.reachableWithin + m_settings.staleAfter;
    for (const auto& member : members) {
        const auto last = m_confirmations.find(member);
        const bool hasReported = last != m_confirmations.end();
        const auto sinceReport = now - (hasReported ? last->second.at : m_since);
        if (hasReported && sinceReport <= m_settings.reachableWithin && last->second.steppedAtUnixMs == steppedAtUnixMs)
            continue;
        if (sinceReport < settleTime)
            return false;
    }
    return true;
}

} // namespace flamingoroute
