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

} // namespace flamingoroute
