#include "flamingoroute/moves/confirmation_tracker.hpp"

namespace flamingoroute {

void confirmation_tracker::record(const instance_id& from, std::int64_t steppedAtUnixMs, monotonic_time now)
{
    m_words[from] = { steppedAtUnixMs, now };
}

bool confirmation_tracker::isConfirmed(
    const std::vector<instance_id>& members, std::int64_t steppedAtUnixMs, monotonic_time now) const
{
    const auto settleTime = m_settings.reachableWithin + m_settings.staleAfter;
    for (const auto& member : members) {
        const auto word = m_words.find(member);
        const bool isHeard = word != m_words.end();
        const auto silence = now - (isHeard ? word->second.at : m_since);
        if (isHeard && silence <= m_settings.reachableWithin && word->second.steppedAtUnixMs == steppedAtUnixMs)
            continue;
        if (silence < settleTime)
            return false;
    }
    return true;
}

} // namespace flamingoroute
