#include "flamingoroute/placement/region_shares.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

const region_id centre("centre");
const region_id west("west");
const region_id east("east");

double sumOf(const std::map<region_id, double>& shares)
{
    double sum = 0;
    for (const auto& [region, share] : shares)
        sum += share;
    return sum;
}

} // namespace

TEST(region_shares, keeps_all_requests_in_a_region_with_enough_capacity)
{
    const std::map<region_id, region_capacity> capacities { { centre, { 24, 1.0 / 3 } }, { west, { 24, 1.0 / 3 } },
        { east, { 24, 1.0 / 3 } } };
    EXPECT_DOUBLE_EQ(regionShares(capacities, west, 0.45).at(west), 1.0);
}

TEST(region_shares, sends_only_the_excess_to_other_regions_and_more_to_those_with_more_spare_capacity)
{
    const std::map<region_id, region_capacity> capacities { { centre, { 6, 1.0 / 3 } }, { west, { 30, 1.0 / 3 } },
        { east, { 36, 1.0 / 3 } } };
    const auto shares = regionShares(capacities, centre, 0.45);
    EXPECT_NEAR(shares.at(centre), 0.85 * 6 / 10.8, 1e-9);
    EXPECT_GT(shares.at(east), shares.at(west));
    EXPECT_NEAR(sumOf(shares), 1, 1e-9);
}

TEST(region_shares, sends_all_requests_to_other_regions_if_a_region_has_no_upstream)
{
    const std::map<region_id, region_capacity> capacities { { centre, { 0, 1.0 / 3 } }, { west, { 30, 1.0 / 3 } },
        { east, { 30, 1.0 / 3 } } };
    const auto shares = regionShares(capacities, centre, 0.45);
    EXPECT_DOUBLE_EQ(shares.at(centre), 0);
    EXPECT_NEAR(sumOf(shares), 1, 1e-9);
}

TEST(region_shares, are_empty_without_any_upstream)
{
    EXPECT_TRUE(regionShares({ { centre, { 0, 1 } } }, centre, 0.45).empty());
}

} // namespace flamingoroute
