#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace flamingoroute::testing {

TEST(whole_path, forwards_a_request_to_an_upstream_and_returns_its_complete_answer)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    for (const auto& instance : system.instances()) {
        const auto reply = system.send(instance, "GET", "/shop/items/7", "ronda", { { "Test-Request-Id", instance } });
        EXPECT_EQ(reply.status, 200) << reply.body << reply.failure;
        EXPECT_NE(reply.body.find("\"request_id\":\"" + instance + "\""), std::string::npos) << reply.body;
    }
    for (const auto& [id, count] : system.runsById())
        EXPECT_EQ(count, 1) << id;
}

TEST(whole_path, marks_every_refusal_as_not_run_and_runs_none)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    const auto unknownRoute = system.send("i1", "GET", "/nothing");
    EXPECT_EQ(unknownRoute.status, 404);
    EXPECT_EQ(unknownRoute.header("Flamingo-Execution"), "not-run");
    const auto noKey = system.send("i1", "GET", "/shop/items", "");
    EXPECT_EQ(noKey.status, 401);
    EXPECT_EQ(noKey.header("Flamingo-Execution"), "not-run");
    const auto wrongKey = system.send("i1", "GET", "/shop/items", "nobody");
    EXPECT_EQ(wrongKey.status, 401);
    EXPECT_EQ(wrongKey.header("Flamingo-Execution"), "not-run");
    EXPECT_EQ(system.totalRuns(), 0);
}

TEST(whole_path, stops_naming_an_instance_that_is_stopped_and_ends_it_with_exit_code_0)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.entry("i1").signal(SIGTERM);
    const auto code = system.entry("i1").waitForExit(seconds { 15 });
    ASSERT_TRUE(code);
    EXPECT_EQ(*code, 0);
}

} // namespace flamingoroute::testing
