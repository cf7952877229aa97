#include "flamingoroute/proxy/body_budget.hpp"

#include "flamingoroute/proxy/body_lease.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

constexpr std::size_t limit = 400'000;

/// A budget with bodies that are dropped as soon as they are evicted.
class body_budget_test : public ::testing::Test {
public:
    /// @return whether the body @p name fits at @p bytes
    bool growTo(const std::string& owner, const std::string& name, std::size_t bytes)
    {
        auto& lease = leases[name];
        if (!lease)
            lease = budget->open(owner, now, [this, name] { leases.erase(name); });
        return lease->growTo(bytes, now);
    }

    std::shared_ptr<body_budget> budget = std::make_shared<body_budget>(limit);
    std::map<std::string, std::unique_ptr<body_lease>> leases;
    monotonic_time now = monotonicNow();
};

} // namespace

TEST_F(body_budget_test, lets_one_body_have_all_of_the_memory)
{
    EXPECT_TRUE(growTo("ronda", "1", limit));
    EXPECT_FALSE(growTo("ronda", "2", 1));
    leases.erase("1");
    EXPECT_EQ(budget->used(), 0U);
    EXPECT_TRUE(growTo("ronda", "2", limit));
}

TEST_F(body_budget_test, keeps_a_quarter_from_an_owner_of_several_bodies)
{
    EXPECT_TRUE(growTo("ronda", "1", limit / 2));
    EXPECT_TRUE(growTo("ronda", "2", limit / 4));
    EXPECT_FALSE(growTo("ronda", "3", 1));
    EXPECT_TRUE(growTo("aduana", "4", limit / 4));
}

TEST_F(body_budget_test, evicts_the_slowest_body_when_there_is_no_room)
{
    EXPECT_TRUE(growTo("ronda", "stalled", limit / 4));
    now += milliseconds(500);
    EXPECT_TRUE(growTo("ronda", "slow", limit / 4));
    EXPECT_TRUE(growTo("aduana", "complete", limit / 2));
    leases["complete"]->complete();
    EXPECT_FALSE(growTo("ronda", "new", limit / 4)) << "nothing is slow yet";
    now += milliseconds(700);
    EXPECT_TRUE(growTo("ronda", "new", limit / 4));
    EXPECT_EQ(leases.count("stalled"), 0U);
    EXPECT_EQ(leases.count("slow"), 1U);
}

TEST_F(body_budget_test, counts_a_body_that_grows_by_single_bytes_as_slow)
{
    EXPECT_TRUE(growTo("ronda", "dripping", limit / 2));
    for (std::size_t i = 1; i <= 20; ++i) {
        now += milliseconds(100);
        EXPECT_TRUE(growTo("ronda", "dripping", limit / 2 + i));
    }
    EXPECT_TRUE(growTo("aduana", "new", limit - limit / 4));
    EXPECT_EQ(leases.count("dripping"), 0U);
}

TEST_F(body_budget_test, takes_room_from_the_owner_with_the_most_for_one_with_less_than_an_equal_share)
{
    EXPECT_TRUE(growTo("ronda", "1", limit / 2));
    EXPECT_TRUE(growTo("ronda", "2", limit / 4));
    EXPECT_TRUE(growTo("aduana", "3", limit / 2)) << "an equal share of two owners";
    EXPECT_EQ(leases.count("1"), 1U);
    EXPECT_EQ(leases.count("2"), 0U) << "the newest gives way";
    EXPECT_FALSE(growTo("aduana", "3", limit / 2 + 1));
}

} // namespace flamingoroute
