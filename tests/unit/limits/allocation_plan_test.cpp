#include "flamingoroute/limits/allocation_plan.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

constexpr share wholeLimit { 100, 50 };

allocation_table poolOnly()
{
    allocation_table table;
    table.customer = customer_id("ronda");
    table.version = table.epoch = 1;
    table.limit = wholeLimit;
    table.limitRevision = 1;
    table.pool = { instance_id("a"), 7, wholeLimit, wholeLimit, 1 };
    return table;
}

allocation_input demandAtTwo()
{
    allocation_input input;
    input.limit = wholeLimit;
    input.limitRevision = 1;
    input.isResplitDue = true;
    input.holders = { { instance_id("a"), 7, 10, 0, false }, { instance_id("b"), 8, 30, 0, false } };
    return input;
}

} // namespace

TEST(allocation_plan, raises_floors_only_after_the_pool_has_confirmed_less)
{
    const auto first = planNext(poolOnly(), demandAtTwo());
    EXPECT_LT(first.pool.target.depth, wholeLimit.depth);
    EXPECT_EQ(first.pool.reserved, wholeLimit);
    EXPECT_TRUE(first.floors.empty());
    auto confirmed = demandAtTwo();
    confirmed.confirmedPoolVersion = first.version;
    confirmed.poolInUse = first.pool.target;
    const auto second = planNext(first, confirmed);
    ASSERT_EQ(second.floors.size(), 2u);
    EXPECT_GT(second.floors[1].target.perSecond, second.floors[0].target.perSecond);
    EXPECT_LE(reservedTotal(second).depth, wholeLimit.depth);
    EXPECT_LE(reservedTotal(second).perSecond, wholeLimit.perSecond + 1e-6);
}

TEST(allocation_plan, keeps_the_reserved_share_of_an_unresponsive_holder_when_the_limit_falls)
{
    auto table = poolOnly();
    table.pool.target = table.pool.reserved = { 80, 40 };
    table.floors = { { instance_id("b"), 8, { 20, 10 }, { 20, 10 }, 1 } };
    allocation_input lower;
    lower.limit = { 50, 20 };
    lower.limitRevision = 2;
    lower.holders = { { instance_id("b"), 8, 0, 1, false } };
    const auto next = planNext(table, lower);
    EXPECT_EQ(next.floors[0].target, share {});
    EXPECT_EQ(next.floors[0].reserved, (share { 20, 10 }));
    EXPECT_EQ(next.pool.target, (share { 30, 10 }));
}

TEST(allocation_plan, frees_the_floor_of_a_replaced_incarnation)
{
    auto table = poolOnly();
    table.floors = { { instance_id("b"), 8, { 20, 10 }, { 20, 10 }, 1 } };
    allocation_input newer;
    newer.holders = { { instance_id("b"), 9, 0, 0, false } };
    EXPECT_TRUE(planNext(table, newer).floors.empty());
}

TEST(allocation_table, is_read_back_as_it_was_written)
{
    auto table = poolOnly();
    table.successor = instance_id("b");
    table.floors = { { instance_id("b"), 8, { 20.5, 10 }, { 30, 12 }, 1 } };
    table.writer = "a/3";
    table.writeNumber = 4;
    EXPECT_EQ(parseTable(formatTable(table)), table);
    EXPECT_EQ(parseTable("{}").error().code, error_code::invalid_input);
}

} // namespace flamingoroute::testing
