#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <thread>

namespace flamingoroute::testing {

namespace {

/// Required: a published configuration is active on all instances within this time.
constexpr milliseconds activationTimeout { 4000 };
constexpr milliseconds pollInterval { 50 };

/// Nine instances in six failure domains and three regions, like the users' current deployment.
fleet_options nineInstances()
{
    fleet_options options;
    options.domains = { { "d1", "r1", 2, 1 }, { "d2", "r1", 2, 1 }, { "d3", "r2", 2, 1 }, { "d4", "r2", 1, 1 },
        { "d5", "r3", 1, 1 }, { "d6", "r3", 1, 1 } };
    return options;
}

std::string newService(const std::string& name)
{
    return "{\"kind\": \"version\", \"name\": \"" + name + "-v1\", \"service\": \"" + name
        + "\"}, {\"kind\": \"service\", \"name\": \"" + name + "\", \"current_version\": \"" + name
        + "-v1\", \"routes\": [{\"name\": \"all\", \"path_prefix\": \"/" + name + "\", \"open\": true}]}";
}

/// @return whether the instance has the service in its configuration; with no upstream it answers 503 instead of 404
bool hasService(const fleet& system, const std::string& instance, const std::string& name)
{
    return system.send(instance, "GET", "/" + name, "", {}, "", milliseconds { 2000 }).status == 503;
}

bool waitFor(const std::function<bool()>& condition, milliseconds timeout = activationTimeout)
{
    const auto deadline = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void expectEverywhere(const fleet& system, const std::string& name)
{
    const auto deadline = monotonicNow() + activationTimeout;
    for (const auto& instance : system.instances()) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - monotonicNow());
        EXPECT_TRUE(waitFor([&] { return hasService(system, instance, name); }, remaining))
            << instance << " does not have " << name;
    }
}

} // namespace

TEST(config, is_in_force_on_nine_instances_within_four_seconds)
{
    fleet system(nineInstances());
    ASSERT_EQ(system.publishAndWait(), "");
    ASSERT_EQ(system.putObjects("i1", newService("second")).status, 200);
    expectEverywhere(system, "second");
}

TEST(config, reaches_a_domain_cut_from_the_platform_through_its_peers)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.partitionFromPlatform("d3");
    ASSERT_EQ(system.putObjects("i1", newService("second")).status, 200);
    expectEverywhere(system, "second");
}

TEST(config, comes_up_from_peers_on_a_new_instance_while_the_platform_is_down)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    ASSERT_EQ(system.putObjects("i1", newService("second")).status, 200);
    expectEverywhere(system, "second");
    system.setPlatformFaults("{\"down\": true}");
    system.entry("i3").signal(SIGKILL);
    system.control("i3").signal(SIGKILL);
    system.entry("i3").waitForExit(seconds { 5 });
    system.control("i3").waitForExit(seconds { 5 });
    system.startInstance("i3");
    EXPECT_TRUE(system.waitReady("i3"));
    EXPECT_TRUE(hasService(system, "i3", "second")) << "a ready instance has the highest revision held by any peer";
    EXPECT_EQ(system.send("i3", "GET", "/shop/items/1").status, 200);
}

TEST(config, is_published_once_when_the_answer_of_the_commit_is_lost)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.setPlatformFaults("{\"lose_answers\": 1, \"lose_answers_kind\": \"config_head\"}");
    const auto reply = system.putObjects("i1", newService("second"));
    EXPECT_EQ(reply.status, 200) << reply.body;
    expectEverywhere(system, "second");
}

TEST(config, catches_up_on_an_instance_that_was_paused)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.entry("i2").signal(SIGSTOP);
    system.control("i2").signal(SIGSTOP);
    EXPECT_EQ(system.putObjects("i1", newService("second")).status, 200);
    std::this_thread::sleep_for(seconds { 2 });
    system.entry("i2").signal(SIGCONT);
    system.control("i2").signal(SIGCONT);
    EXPECT_TRUE(waitFor([&] { return hasService(system, "i2", "second"); }));
}

TEST(config, comes_into_force_after_an_outage_of_the_platform)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.setPlatformFaults("{\"down\": true}");
    EXPECT_NE(system.putObjects("i1", newService("second")).status, 200);
    std::this_thread::sleep_for(seconds { 2 });
    EXPECT_EQ(system.send("i2", "GET", "/shop/items/1").status, 200) << "requests are still served";
    system.setPlatformFaults("{\"down\": false}");
    ASSERT_EQ(system.putObjects("i1", newService("second")).status, 200);
    expectEverywhere(system, "second");
}

} // namespace flamingoroute::testing
