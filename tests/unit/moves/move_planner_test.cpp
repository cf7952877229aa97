#include "flamingoroute/moves/move_planner.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

milliseconds timeOf(const std::vector<int>& shares, double rate, const move_settings& settings)
{
    milliseconds total { 0 };
    for (const int share : shares)
        total += stepTime(share, rate, settings);
    return total;
}

} // namespace

TEST(move_planner, fits_all_steps_between_now_and_the_deadline)
{
    const move_settings settings;
    for (const int minutes : { 1, 2, 5, 10, 60, 600 }) {
        for (const double rate : { 0.5, 5.0, 50.0, 500.0 }) {
            const plan_input input { 100, std::chrono::minutes(minutes), rate };
            const auto shares = planShares(input, settings);
            EXPECT_LE(timeOf(shares, rate, settings), input.timeLeft) << minutes << " min, " << rate << "/s";
            for (std::size_t index = 1; index < shares.size(); ++index)
                EXPECT_LE(shares[index], settings.growthFactor * shares[index - 1]);
            if (!shares.empty()) {
                EXPECT_EQ(shares.back(), input.capPercent);
            }
        }
    }
}

TEST(move_planner, ends_at_the_cap)
{
    const move_settings settings;
    const plan_input input { 40, std::chrono::hours(1), 100 };
    int share = firstShare(input, settings);
    EXPECT_EQ(share, settings.firstSharePercent);
    for (int step = 0; step < 10; ++step) {
        const int next = nextShare(share, input, settings);
        EXPECT_LE(next, settings.growthFactor * share);
        share = next;
    }
    EXPECT_EQ(share, 40);
}

TEST(move_planner, starts_at_the_max_first_share_when_traffic_is_low)
{
    const move_settings settings;
    const plan_input input { 100, std::chrono::minutes(30), 0.2 };
    EXPECT_EQ(firstShare(input, settings), settings.maxFirstSharePercent);
}

TEST(move_planner, grows_faster_when_time_is_short)
{
    const move_settings settings;
    const plan_input relaxed { 100, std::chrono::minutes(30), 500 };
    const plan_input urgent { 100, std::chrono::seconds(25), 500 };
    EXPECT_EQ(nextShare(4, relaxed, settings), 8);
    EXPECT_GT(nextShare(4, urgent, settings), 8);
    EXPECT_LE(nextShare(4, urgent, settings), 16);
}

} // namespace flamingoroute
