#include "flamingoroute/steering/lookup_table.hpp"

#include <gtest/gtest.h>

#include <map>

namespace flamingoroute {

namespace {

configuration threeRegions()
{
    configuration current;
    current.regions = { { region_id("east"), { { region_id("north"), milliseconds(20), 100 } } },
        { region_id("north"), {} }, { region_id("west"), { { region_id("east"), milliseconds(50), 100 } } } };
    current.clientBlocks = { { "all", "10.0.0.0/8", region_id("east") }, { "one", "10.1.0.0/16", region_id("west") },
        { "six", "2001:db8::/32", region_id("north") }, { "two", "10.1.2.0/24", region_id("north") } };
    return current;
}

std::vector<member> sixMembers()
{
    std::vector<member> live;
    for (const char* regionName : { "east", "north", "west" }) {
        for (const char* domain : { "1", "2" }) {
            member target;
            target.region = region_id(regionName);
            target.failureDomain = failure_domain_id(std::string(regionName) + domain);
            target.instance = instance_id(std::string(regionName) + domain + "-a");
            live.push_back(target);
        }
    }
    return live;
}

} // namespace

TEST(lookup_table, uses_the_longest_matching_prefix)
{
    const lookup_table table(threeRegions(), sixMembers(), region_id("west"));
    const std::map<std::string, std::string> expected { { "10.0.0.1", "east" }, { "10.1.0.0", "west" },
        { "10.1.1.255", "west" }, { "10.1.2.0", "north" }, { "10.1.2.255", "north" }, { "10.1.3.0", "west" },
        { "10.2.0.0", "east" }, { "10.255.255.255", "east" }, { "11.0.0.0", "west" }, { "2001:db8::1", "north" },
        { "2001:db9::1", "west" }, { "not an address", "west" } };
    for (const auto& [address, regionName] : expected)
        EXPECT_EQ(table.regionOf(address).value(), regionName) << address;
}

TEST(lookup_table, lists_the_own_region_first_and_then_the_nearest)
{
    const lookup_table table(threeRegions(), sixMembers(), region_id("west"));
    const auto answer = table.lookup("10.0.0.1");
    ASSERT_EQ(answer.instances.size(), 6u);
    std::vector<std::string> places;
    for (const auto* target : answer.instances)
        places.push_back(target->region.value());
    EXPECT_EQ(places, (std::vector<std::string> { "east", "east", "north", "north", "west", "west" }));
    EXPECT_NE(answer.instances[0]->failureDomain, answer.instances[1]->failureDomain);
    EXPECT_GT(answer.timeToLive, milliseconds(0));
}

TEST(lookup_table, spreads_callers_and_moves_few_when_an_instance_is_removed)
{
    configuration current;
    current.regions = { { region_id("east"), {} } };
    std::vector<member> live;
    for (int i = 0; i < 8; ++i) {
        member target;
        target.region = region_id("east");
        target.failureDomain = failure_domain_id("east" + std::to_string(i % 2));
        target.instance = instance_id("e" + std::to_string(i));
        live.push_back(target);
    }
    const lookup_table before(current, live, region_id("east"));
    const auto removed = live.back().instance;
    live.pop_back();
    const lookup_table after(current, live, region_id("east"));
    std::map<instance_id, int> firsts;
    constexpr int callers = 4000;
    for (int i = 0; i < callers; ++i) {
        const auto address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
        const auto first = before.lookup(address).instances.front()->instance;
        ++firsts[first];
        if (first != removed) {
            EXPECT_EQ(after.lookup(address).instances.front()->instance, first);
        }
    }
    for (const auto& [instance, count] : firsts)
        EXPECT_NEAR(count, callers / 8, callers / 8 / 4) << instance.value();
}

TEST(lookup_table, returns_no_instances_if_none_is_live)
{
    const lookup_table table(threeRegions(), {}, region_id("east"));
    EXPECT_TRUE(table.lookup("10.0.0.1").instances.empty());
}

} // namespace flamingoroute
