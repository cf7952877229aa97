#include "flamingoroute/placement/shift_limiter.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr microseconds slotTime { 100'000 };
/// Less than the users' bound on a region's shift between two windows, which chance adds to.
constexpr double mostRise = 0.07;
constexpr double mostFall = 0.05;
/// So few requests say nothing of a part.
constexpr double fewRequests = 10;

std::int64_t slotAt(monotonic_time now) { return now.time_since_epoch() / slotTime; }

} // namespace

shift_limiter::parts shift_limiter::windowBefore(std::int64_t windowsAgo, monotonic_time now) const
{
    const auto newest = slotAt(now) - windowsAgo * slotsPerWindow;
    parts sum;
    for (const auto& part : m_slots) {
        if (part.slot > newest - slotsPerWindow && part.slot <= newest) {
            sum.all += part.all;
            sum.left += part.left;
        }
    }
    return sum;
}

bool shift_limiter::mayLeave(double plannedPart, monotonic_time now) const
{
    const auto newest = windowBefore(0, now);
    if (newest.all < fewRequests)
        return true;
    const auto before = windowBefore(1, now);
    const double partBefore = before.all < fewRequests ? 0 : before.left / before.all;
    return newest.left + 1 <= (std::max(plannedPart, partBefore) + mostRise) * (newest.all + 1);
}

bool shift_limiter::shouldLeave(monotonic_time now) const
{
    const auto newest = windowBefore(0, now);
    const auto before = windowBefore(1, now);
    if (newest.all < fewRequests || before.all < fewRequests)
        return false;
    return newest.left < (before.left / before.all - mostFall) * newest.all;
}

void shift_limiter::note(bool hasLeft, monotonic_time now)
{
    const auto slot = slotAt(now);
    auto& part = m_slots[static_cast<std::size_t>(slot) % m_slots.size()];
    if (part.slot != slot)
        part = { slot, 0, 0 };
    part.all += 1;
    part.left += hasLeft ? 1 : 0;
}

} // namespace flamingoroute
