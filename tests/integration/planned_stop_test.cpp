#include "support/process/steady_callers.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace flamingoroute::testing {

namespace {

fleet_options nineInstances()
{
    fleet_options options;
    options.domains = {
        { "d1", "r1", 2, 2 },
        { "d2", "r1", 1, 1 },
        { "d3", "r2", 2, 2 },
        { "d4", "r2", 1, 1 },
        { "d5", "r3", 2, 2 },
        { "d6", "r3", 1, 1 },
    };
    options.serviceMs = 30;
    return options;
}

void expectNoneInterrupted(const caller_tally& tally)
{
    EXPECT_EQ(tally.count(0), 0) << "requests without a reply";
    EXPECT_EQ(tally.count(504), 0) << "outcomes unknown";
    EXPECT_EQ(tally.mismatchedAnswers, 0);
    EXPECT_GT(tally.count(200), 0);
}

} // namespace

TEST(planned_stop, of_two_instances_of_a_domain_at_once_cuts_no_request)
{
    fleet system(nineInstances());
    ASSERT_EQ(system.publishAndWait(), "");
    steady_callers callers(system, 12, "POST", "/shop/orders", milliseconds { 5 });
    std::this_thread::sleep_for(seconds { 1 });
    for (const char* instance : { "i1", "i2" })
        system.entry(instance).signal(SIGTERM);
    for (const char* instance : { "i1", "i2" }) {
        const auto code = system.entry(instance).waitForExit(seconds { 20 });
        ASSERT_TRUE(code) << instance;
        EXPECT_EQ(*code, 0) << instance;
    }
    std::this_thread::sleep_for(seconds { 1 });
    expectNoneInterrupted(callers.stop());
}

TEST(planned_stop, of_each_instance_in_turn_cuts_no_request)
{
    fleet system(nineInstances());
    ASSERT_EQ(system.publishAndWait(), "");
    steady_callers callers(system, 12, "POST", "/shop/orders", milliseconds { 5 });
    for (const auto& instance : system.instances()) {
        system.entry(instance).signal(SIGTERM);
        const auto code = system.entry(instance).waitForExit(seconds { 20 });
        ASSERT_TRUE(code) << instance;
        EXPECT_EQ(*code, 0) << instance;
        system.startEntry(instance);
        ASSERT_TRUE(system.waitReady(instance)) << instance;
    }
    const auto tally = callers.stop();
    expectNoneInterrupted(tally);
    for (const auto& [id, count] : system.runsById())
        EXPECT_EQ(count, 1) << id;
}

} // namespace flamingoroute::testing
