#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace flamingoroute::testing {

namespace {

fleet_options manyUpstreams()
{
    fleet_options options;
    options.domains = { { "d1", "r1", 1, 2 }, { "d2", "r1", 1, 2 }, { "d3", "r2", 1, 2 } };
    return options;
}

std::ptrdiff_t terminatedUpstreams(fleet& system)
{
    const auto names = system.upstreams();
    return std::count_if(
        names.begin(), names.end(), [&](const auto& name) { return !system.upstream(name).isRunning(); });
}

} // namespace

TEST(crashing_request, breaks_two_upstreams_at_most_however_often_it_is_sent_again_and_others_are_served)
{
    fleet system(manyUpstreams());
    ASSERT_EQ(system.publishAndWait(), "");
    constexpr int submissions = 12;
    http_reply last;
    for (int i = 0; i < submissions; ++i) {
        const auto instances = system.instances();
        last = system.send(instances[i % instances.size()], "POST", "/shop/orders/crash", "ronda",
            { { "Test-Crash", "any" } }, "tag=7");
        EXPECT_NE(last.status, 200);
        EXPECT_NE(last.header("Flamingo-Execution"), "") << last.body;
    }
    EXPECT_EQ(last.header("Flamingo-Execution"), "not-run") << last.body;
    EXPECT_NE(last.body.find("quarantined"), std::string::npos) << last.body;
    EXPECT_LE(terminatedUpstreams(system), 2);
    for (const auto& instance : system.instances()) {
        const auto read = system.send(instance, "GET", "/shop/items/7");
        EXPECT_EQ(read.status, 200) << instance << ": " << read.body;
        const auto order = system.send(instance, "POST", "/shop/orders", "ronda", {}, "tag=8");
        EXPECT_EQ(order.status, 200) << instance << ": " << order.body;
    }
}

} // namespace flamingoroute::testing
