#include "flamingoroute/placement/shift_limiter.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr microseconds bucketTime { 100'000 };
/// Below the required bound on the change of a region's share between two windows, because random variation adds to it.
constexpr double maxRise = 0.07;
constexpr double maxFall = 0.05;
/// With fewer requests in a window, the share is not significant.
constexpr double minRequests = 10;

std::int64_t bucketAt(monotonic_time now) { return now.time_since_epoch() / bucketTime; }

} // namespace

shift_limiter::request_counts shift_limiter::countsOfWindow(std::int64_t windowsAgo, monotonic_time now) const
{
    const auto newest = bucketAt(now) - windowsAgo * bucketsPerWindow;
    request_counts sum;
    for (const auto& counts : m_buckets) {
        if (counts.bucket > newest - bucketsPerWindow && counts.bucket <= newest) {
            sum.total += counts.total;
            sum.remote += counts.remote;
        }
    }
    return sum;
}

bool shift_limiter::mayLeaveRegion(double plannedShare, monotonic_time now) const
{
    const auto newest = countsOfWindow(0, now);
    if (newest.total < minRequests)
        return true;
    const auto before = countsOfWindow(1, now);
    const double shareBefore = before.total < minRequests ? 0 : before.remote / before.total;
    return newest.remote + 1 <= (std::max(plannedShare, shareBefore) + maxRise) * (newest.total + 1);
}

bool shift_limiter::shouldLeaveRegion(monotonic_time now) const
{
    const auto newest = countsOfWindow(0, now);
    const auto before = countsOfWindow(1, now);
    if (newest.total < minRequests || before.total < minRequests)
        return false;
    return newest.remote < (before.remote / before.total - maxFall) * newest.total;
}

void shift_limiter::record(bool isRemote, monotonic_time now)
{
    const auto bucket = bucketAt(now);
    auto& counts = m_buckets[static_cast<std::size_t>(bucket) % m_buckets.size()];
    if (counts.bucket != bucket)
        counts = { bucket, 0, 0 };
    counts.total += 1;
    counts.remote += isRemote ? 1 : 0;
}

} // namespace flamingoroute
