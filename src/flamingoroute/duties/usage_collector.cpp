#include "flamingoroute/duties/usage_collector.hpp"

#include <set>

namespace flamingoroute {

namespace {

/// Windows before the current one that are kept: reports of older ones are overdue.
constexpr window_index keptWindows = 6;

/// @return whether @p left is the more complete one of two sums of a region
bool isMoreComplete(const usage_counts& left, const usage_counts& right)
{
    return std::pair(left.instances, sumOf(left.requests)) > std::pair(right.instances, sumOf(right.requests));
}

} // namespace

usage_collector::window_counts* usage_collector::windowFor(window_index window, window_index current)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(current - keptWindows));
    // One window ahead, for a sender whose clock is ahead.
    const bool isNear = window >= current - keptWindows && window <= current + 1;
    return isNear ? &m_windows[window] : nullptr;
}

void usage_collector::recordInstance(const usage_counts& counts, window_index current)
{
    if (auto* window = windowFor(counts.window, current))
        window->instances[{ counts.instance, counts.incarnation }] = counts;
}

void usage_collector::recordRegion(const usage_counts& sum, window_index current)
{
    auto* window = windowFor(sum.window, current);
    if (window == nullptr)
        return;
    const auto [known, isNew] = window->regions.try_emplace(sum.region, sum);
    if (!isNew && !isMoreComplete(known->second, sum))
        known->second = sum;
}

std::map<std::string, usage_counts> usage_collector::sumsByRegion(const window_counts& counts)
{
    std::map<std::string, usage_counts> sums;
    std::map<std::string, std::set<std::string>> names;
    for (const auto& [key, one] : counts.instances) {
        auto& sum = sums[one.region];
        sum.region = one.region;
        sum.window = one.window;
        addCounts(sum.requests, one.requests);
        names[one.region].insert(one.instance);
        sum.instances = static_cast<std::uint32_t>(names[one.region].size());
    }
    return sums;
}

usage_counts usage_collector::sumOfRegion(const std::string& region, window_index window) const
{
    usage_counts none;
    none.region = region;
    none.window = window;
    none.instances = 0;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return none;
    const auto sums = sumsByRegion(found->second);
    const auto sum = sums.find(region);
    return sum == sums.end() ? none : sum->second;
}

usage_counts usage_collector::total(window_index window) const
{
    usage_counts total;
    total.window = window;
    total.instances = 0;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return total;
    auto sums = sumsByRegion(found->second);
    for (const auto& [region, sum] : found->second.regions) {
        const auto [known, isNew] = sums.try_emplace(region, sum);
        if (!isNew && isMoreComplete(sum, known->second))
            known->second = sum;
    }
    for (const auto& [region, sum] : sums) {
        total.instances += sum.instances;
        addCounts(total.requests, sum.requests);
    }
    return total;
}

std::optional<window_index> usage_collector::oldestWindow() const
{
    return m_windows.empty() ? std::nullopt : std::optional(m_windows.begin()->first);
}

} // namespace flamingoroute
