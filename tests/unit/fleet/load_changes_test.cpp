#include "flamingoroute/fleet/load_changes.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

monotonic_time at(int ms) { return monotonic_time(milliseconds(100'000 + ms)); }

} // namespace

TEST(load_changes, returns_each_load_once_with_its_age)
{
    load_changes changes;
    changes.record({ 1, 4, 100 }, at(0));
    EXPECT_EQ(changes.take(8, at(50)), (std::vector<upstream_load> { { 1, 4, 150 } }));
    EXPECT_TRUE(changes.take(8, at(60)).empty());
}

TEST(load_changes, keeps_the_newest_of_doubled_and_reordered_reports)
{
    load_changes changes;
    changes.record({ 1, 4, 100 }, at(0));
    changes.record({ 1, 9, 300 }, at(10));
    EXPECT_EQ(changes.take(8, at(10)).front().requests, 4);
    changes.record({ 1, 4, 110 }, at(10));
    EXPECT_TRUE(changes.take(8, at(20)).empty());
}

TEST(load_changes, returns_the_largest_changes_first_and_the_rest_later)
{
    load_changes changes;
    for (std::uint32_t upstream = 0; upstream < 6; ++upstream)
        changes.record({ upstream, static_cast<std::uint16_t>(upstream), 0 }, at(0));
    const auto first = changes.take(2, at(0));
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0].upstream, 5U);
    EXPECT_EQ(first[1].upstream, 4U);
    EXPECT_EQ(changes.take(8, at(0)).size(), 4U);
}

TEST(load_changes, drops_what_is_too_old_to_be_of_use)
{
    load_changes changes;
    changes.record({ 1, 4, 0 }, at(0));
    EXPECT_TRUE(changes.take(8, at(2500)).empty());
}

} // namespace flamingoroute
