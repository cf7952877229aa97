#include "flamingoroute/fleet/load_changes.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace flamingoroute {

namespace {

/// Receivers give an older load almost no weight.
constexpr microseconds usefulFor { 2'000'000 };

} // namespace

void load_changes::record(const upstream_load& load, monotonic_time now)
{
    const auto measuredAt = now - milliseconds(load.ageMs);
    auto& known = m_loads[load.upstream];
    if (measuredAt <= known.measuredAt)
        return;
    known.requests = load.requests;
    known.measuredAt = measuredAt;
    known.isPending = true;
}

std::vector<upstream_load> load_changes::take(std::size_t maxCount, monotonic_time now)
{
    std::erase_if(m_loads, [&](const auto& entry) { return now - entry.second.measuredAt >= usefulFor; });
    std::vector<load_map::iterator> pending;
    for (auto entry = m_loads.begin(); entry != m_loads.end(); ++entry) {
        if (entry->second.isPending)
            pending.push_back(entry);
    }
    const auto changeOf = [](const auto& entry) { return std::abs(entry->second.requests - entry->second.lastTaken); };
    std::stable_sort(pending.begin(), pending.end(),
        [&](const auto& left, const auto& right) { return changeOf(left) > changeOf(right); });
    pending.resize(std::min(maxCount, pending.size()));
    std::vector<upstream_load> result;
    for (const auto& entry : pending) {
        auto& known = entry->second;
        known.isPending = false;
        known.lastTaken = known.requests;
        const auto age = std::chrono::duration_cast<milliseconds>(now - known.measuredAt);
        result.push_back({ entry->first, static_cast<std::uint16_t>(known.requests),
            static_cast<std::uint16_t>(std::max<std::int64_t>(0, age.count())) });
    }
    return result;
}

} // namespace flamingoroute
