#include "flamingoroute/duties/usage_counter.hpp"

#include <iterator>

namespace flamingoroute {

namespace {

/// Older windows are dropped; their reports are overdue.
constexpr std::size_t maxWindows = 8;

} // namespace

usage_counter::usage_counter(milliseconds window)
    : m_window(window)
{
}

void usage_counter::add(const customer_id& customer, monotonic_time startsAt)
{
    if (!isEnabled() || !m_clock.isSet())
        return;
    const auto window = windowAt(startsAt);
    ++m_counts[window][customer.value()];
    if (m_counts.size() <= maxWindows)
        return;
    // After a step of the clock, the windows kept may lie in the future.
    const auto oldest = m_counts.begin();
    const auto newest = std::prev(m_counts.end());
    m_counts.erase(newest->first - window > window - oldest->first ? newest : oldest);
}

void usage_counter::takeBack(const customer_id& customer, monotonic_time startsAt)
{
    if (!isEnabled())
        return;
    const auto window = m_counts.find(windowAt(startsAt));
    if (window == m_counts.end())
        return;
    const auto count = window->second.find(customer.value());
    if (count == window->second.end())
        return;
    if (--count->second == 0)
        window->second.erase(count);
}

window_index usage_counter::windowAt(monotonic_time time) const { return m_clock.at(time) / m_window; }

microseconds usage_counter::sinceEnd(window_index window, monotonic_time now) const
{
    return m_clock.at(now) - (window + 1) * m_window;
}

customer_counts usage_counter::countsOf(window_index window) const
{
    const auto found = m_counts.find(window);
    return found == m_counts.end() ? customer_counts {} : found->second;
}

} // namespace flamingoroute
