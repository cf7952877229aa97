#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds idleDuration { 400 };

void freezeOpenConnections(fleet& system)
{
    link_fault frozen;
    frozen.isFreezingOpenConnections = true;
    system.proxy().setFault([](const std::string& name) { return name.starts_with("entries>"); }, frozen);
}

/// Opens connections from the instance to its upstreams.
void warmUp(const fleet& system)
{
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(system.send("i1", "GET", "/shop/items/7").status, 200);
}

} // namespace

TEST(silent_connections, lose_no_order_if_they_were_idle_for_a_while)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    warmUp(system);
    freezeOpenConnections(system);
    std::this_thread::sleep_for(idleDuration);
    for (int i = 0; i < 5; ++i) {
        const auto id = "order-" + std::to_string(i);
        const auto reply = system.send("i1", "POST", "/shop/orders", "ronda", { { "Test-Request-Id", id } }, "tag=7");
        EXPECT_EQ(reply.status, 200) << reply.body;
        EXPECT_EQ(system.runsById()[id], 1);
    }
}

TEST(silent_connections, delay_a_repeatable_request_but_do_not_fail_it)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    warmUp(system);
    freezeOpenConnections(system);
    const auto startedAt = monotonicNow();
    for (int i = 0; i < 10; ++i) {
        const auto reply = system.send("i1", "GET", "/shop/items/7");
        EXPECT_EQ(reply.status, 200) << reply.body;
    }
    // Each upstream's connection pool may cost one early retry of 300 ms, which also drops the rest of the pool.
    EXPECT_LT(monotonicNow() - startedAt, seconds { 3 });
}

TEST(silent_connections, never_make_an_order_run_twice)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    constexpr int rounds = 3;
    std::map<std::string, http_reply> replies;
    for (int i = 0; i < rounds; ++i) {
        warmUp(system);
        freezeOpenConnections(system);
        const auto id = "order-" + std::to_string(i);
        replies[id] = system.send("i1", "POST", "/shop/orders", "ronda", { { "Test-Request-Id", id } }, "tag=7");
        system.proxy().heal();
    }
    const auto runs = system.runsById();
    for (const auto& [id, reply] : replies) {
        const auto found = runs.find(id);
        const int count = found == runs.end() ? 0 : found->second;
        EXPECT_LE(count, 1) << id;
        const bool isNotRun = reply.header("Flamingo-Execution") == "not-run";
        EXPECT_FALSE(isNotRun && count > 0) << id;
    }
}

} // namespace flamingoroute::testing
