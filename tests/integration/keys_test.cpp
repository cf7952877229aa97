#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds withdrawalTimeout { 4000 }; ///< required: "within seconds", as for all configuration
constexpr milliseconds pollInterval { 20 };

std::string keyObject(const std::string& customer) { return "{\"name\": \"" + customer + "-key\"}"; }

bool waitRefused(const fleet& system, const std::string& instance, const std::string& customer)
{
    const auto deadline = monotonicNow() + withdrawalTimeout;
    while (system.send(instance, "GET", "/shop/items/1", customer).status != 401) {
        if (monotonicNow() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace

TEST(keys, stop_working_everywhere_under_live_traffic_and_for_one_customer_only)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    std::atomic<bool> isOver { false };
    std::atomic<int> othersRefused { 0 };
    std::thread traffic([&] {
        while (!isOver)
            othersRefused += system.send("i2", "GET", "/shop/items/2", "xela").status == 401 ? 1 : 0;
    });
    ASSERT_EQ(system.send("i2", "GET", "/shop/items/1", "ronda").status, 200);
    const auto reply = system.admin("i1", "POST", "commands/key-withdraw", keyObject("ronda"));
    EXPECT_EQ(reply.status, 200) << reply.body;
    for (const auto& instance : system.instances())
        EXPECT_TRUE(waitRefused(system, instance, "ronda")) << instance;
    isOver = true;
    traffic.join();
    EXPECT_EQ(othersRefused, 0);
}

TEST(keys, stop_working_when_the_platform_goes_down_just_after_the_withdrawal)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.partitionFromPlatform("d2");
    system.partitionFromPlatform("d3");
    const auto reply = system.admin("i1", "POST", "commands/key-withdraw", keyObject("ronda"));
    system.setPlatformFaults("{\"down\": true}");
    ASSERT_EQ(reply.status, 200) << reply.body;
    for (const auto& instance : system.instances())
        EXPECT_TRUE(waitRefused(system, instance, "ronda")) << instance;
}

TEST(keys, go_on_in_a_domain_that_is_cut_off_and_stop_when_it_is_joined_again)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.partitionFromPlatform("d3");
    system.partitionFromPeers("d3");
    ASSERT_EQ(system.admin("i1", "POST", "commands/key-withdraw", keyObject("ronda")).status, 200);
    EXPECT_TRUE(waitRefused(system, "i1", "ronda"));
    EXPECT_EQ(system.send("i3", "GET", "/shop/items/1", "ronda").status, 200) << "serves with the keys it had cached";
    system.proxy().heal();
    EXPECT_TRUE(waitRefused(system, "i3", "ronda"));
}

TEST(keys, never_reach_an_upstream)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    for (const auto& upstream : system.upstreams())
        system.setUpstreamFaults(upstream, "{\"secrets\": [\"" + fleet::keyOf("ronda") + "\"]}");
    for (const auto& instance : system.instances()) {
        EXPECT_EQ(system.send(instance, "GET", "/shop/items/1", "ronda").status, 200);
        EXPECT_EQ(system.send(instance, "POST", "/shop/orders", "ronda", {}, "an order").status, 200);
    }
    EXPECT_EQ(system.totalRuns(), static_cast<int>(system.instances().size()) * 2);
    for (const auto& upstream : system.upstreams()) {
        const auto counts = system.countsOf(upstream);
        EXPECT_TRUE(counts.isReached);
        EXPECT_EQ(counts.secretsSeen, 0) << upstream;
    }
}

} // namespace flamingoroute::testing
