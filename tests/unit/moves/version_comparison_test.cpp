#include "flamingoroute/moves/version_comparison.hpp"

#include "flamingoroute/fleet/version_tally.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

version_tally tallyWith(std::uint32_t attempts, std::uint32_t otherAttempts)
{
    version_tally tally;
    tally.attempts = attempts;
    tally.otherAttempts = otherAttempts;
    return tally;
}

} // namespace

TEST(version_comparison, finds_failures_while_connections_to_the_other_versions_break)
{
    auto tally = tallyWith(20, 800);
    tally.failures = 4;
    tally.otherFailures = 8;
    tally.otherBroken = 80;
    EXPECT_TRUE(isVersionBad(tally));
}

TEST(version_comparison, accepts_a_version_whose_connections_break_as_often_as_those_of_the_others)
{
    auto tally = tallyWith(40, 800);
    tally.broken = 6;
    tally.otherBroken = 80;
    EXPECT_FALSE(isVersionBad(tally));
}

TEST(version_comparison, finds_a_version_bad_that_breaks_connections_far_more_often_than_the_others)
{
    auto tally = tallyWith(20, 800);
    tally.broken = 8;
    tally.otherBroken = 8;
    EXPECT_TRUE(isVersionBad(tally));
}

TEST(version_comparison, accepts_a_version_that_is_slow_as_often_as_the_others_in_an_overload)
{
    auto tally = tallyWith(20, 800);
    tally.slow = 6;
    tally.otherSlow = 200;
    EXPECT_FALSE(isVersionBad(tally));
    tally.otherSlow = 20;
    EXPECT_TRUE(isVersionBad(tally));
}

// EXPOSURE: versions with few failures or few slow answers were completed.
TEST(version_comparison, does_not_take_a_version_for_proven_that_fails_three_times_in_a_hundred)
{
    auto tally = tallyWith(200, 900);
    tally.otherFailures = 3;
    EXPECT_TRUE(isVersionProven(tally));
    tally.failures = 3;
    EXPECT_FALSE(isVersionProven(tally));
    tally = tallyWith(300, 2700);
    tally.otherFailures = 10;
    tally.failures = 9;
    EXPECT_TRUE(isVersionBad(tally));
    tally.failures = 1;
    EXPECT_TRUE(isVersionProven(tally));
    EXPECT_FALSE(isVersionDoubtful(tally));
}

TEST(version_comparison, needs_more_than_a_few_attempts_to_take_a_version_for_proven)
{
    EXPECT_FALSE(isVersionProven(tallyWith(20, 800)));
    EXPECT_FALSE(isVersionBad(tallyWith(20, 800)));
    EXPECT_TRUE(isVersionProven(tallyWith(150, 800)));
}

TEST(version_comparison, finds_a_version_bad_of_which_one_answer_in_eight_is_slow)
{
    auto tally = tallyWith(160, 800);
    tally.otherSlow = 6;
    tally.slow = 1;
    EXPECT_TRUE(isVersionProven(tally));
    tally.slow = 10;
    EXPECT_FALSE(isVersionProven(tally));
    EXPECT_TRUE(isVersionDoubtful(tally));
    tally.slow = 20;
    EXPECT_TRUE(isVersionBad(tally));
}

TEST(version_comparison, takes_one_slow_upstream_for_a_slow_upstream_and_many_for_a_slow_version)
{
    constexpr std::uint32_t upstreams = 12;
    constexpr std::uint32_t attemptsEach = 12;
    const auto withSlowUpstreams = [&](std::uint32_t slow) {
        auto tally = tallyWith(upstreams * attemptsEach, 800);
        tally.otherSlow = 8;
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            for (std::uint32_t attempt = 0; attempt < attemptsEach; ++attempt)
                tally.addTimed(i, i < slow);
        }
        tally.slow = slow * attemptsEach;
        return tally;
    };
    EXPECT_FALSE(isVersionDoubtful(withSlowUpstreams(2)));
    EXPECT_TRUE(isVersionProven(withSlowUpstreams(2)));
    EXPECT_TRUE(isVersionBad(withSlowUpstreams(6)));
    EXPECT_TRUE(isVersionBad(withSlowUpstreams(upstreams)));
    auto slowFromThen = tallyWith(upstreams * attemptsEach, 800);
    for (std::uint32_t i = 0; i < upstreams * attemptsEach; ++i)
        slowFromThen.addTimed(i % upstreams, i % upstreams == 0 && i >= upstreams * attemptsEach / 2);
    slowFromThen.slow = attemptsEach / 2;
    EXPECT_FALSE(isVersionDoubtful(slowFromThen));
}

TEST(version_comparison, does_not_suspect_a_version_whose_times_say_nothing_under_load)
{
    auto tally = tallyWith(160, 800);
    tally.untimed = 158;
    tally.otherUntimed = 760;
    tally.slow = 1;
    tally.otherSlow = 2;
    EXPECT_FALSE(isVersionDoubtful(tally));
    EXPECT_FALSE(isVersionProven(tally));
    EXPECT_TRUE(isVersionUnsuspicious(tally));
    tally.slow = 2;
    EXPECT_FALSE(isVersionUnsuspicious(tally));
}

} // namespace flamingoroute
