#include "flamingoroute/placement/shift_limiter.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(shift_limiter, keeps_the_part_that_leaves_within_the_bound_between_any_two_windows_of_two_seconds)
{
    constexpr double planned = 0.06;
    shift_limiter limiter;
    std::vector<int> left;
    for (int ms = 0; ms < 12'000; ms += 10) {
        const monotonic_time now { milliseconds(100'000 + ms) };
        const bool isFull = ms < 3000 || (ms > 6000 && ms < 8000);
        const bool leaves = (isFull && limiter.mayLeaveRegion(planned, now)) || limiter.shouldLeaveRegion(now);
        limiter.record(leaves, now);
        left.push_back(leaves ? 1 : 0);
    }
    constexpr std::size_t window = 200;
    constexpr int allowed = 30; // 15 in 100 requests
    const auto leftFrom = [&](std::size_t first) {
        int sum = 0;
        for (std::size_t i = first; i < first + window; ++i)
            sum += left[i];
        return sum;
    };
    for (std::size_t first = 0; first + 2 * window < left.size(); first += 10)
        EXPECT_LE(std::abs(leftFrom(first) - leftFrom(first + window)), allowed) << "window at " << first * 10 << " ms";
}

} // namespace flamingoroute
