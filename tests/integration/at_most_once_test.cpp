#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <thread>
#include <vector>

namespace flamingoroute::testing {

namespace {

std::vector<http_header> withIdempotencyKey(const std::string& key) { return { { "Idempotency-Key", key } }; }

/// Expects that no order ran more than once, and that no order ran for which every reply was "not-run".
void expectAtMostOnce(const fleet& system, const std::map<std::string, std::vector<http_reply>>& replies)
{
    const auto runs = system.runsById();
    for (const auto& [id, count] : runs)
        EXPECT_LE(count, 1) << id;
    for (const auto& [id, all] : replies) {
        const bool isNotRun = std::all_of(all.begin(), all.end(),
            [](const http_reply& reply) { return reply.header("Flamingo-Execution") == "not-run"; });
        EXPECT_FALSE(isNotRun && runs.contains(id)) << id;
    }
}

} // namespace

TEST(at_most_once, gives_a_resend_through_another_instance_the_answer_of_the_one_run)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    const auto first = system.send("i1", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(first.status, 200) << first.body;
    const auto second = system.send("i2", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(second.status, 200) << second.body;
    EXPECT_EQ(second.body, first.body);
    const auto other = system.send("i3", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=9");
    EXPECT_EQ(other.status, 422);
    EXPECT_EQ(other.header("Flamingo-Execution"), "not-run");
    const auto ofOtherCustomer
        = system.send("i3", "POST", "/shop/deposits", "xela", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(ofOtherCustomer.status, 200);
    EXPECT_EQ(system.totalRuns(), 2);
}

TEST(at_most_once, says_unknown_and_never_runs_again_after_the_answer_was_swallowed)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    for (const auto& upstream : system.upstreams())
        system.setUpstreamFaults(upstream, R"({"swallow_answers": 1})");
    const auto first = system.send("i1", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(first.status, 504) << first.body;
    EXPECT_EQ(first.header("Flamingo-Execution"), "unknown");
    const auto second = system.send("i2", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(second.header("Flamingo-Execution"), "unknown") << second.body;
    expectAtMostOnce(system, { { "dep-1", { first, second } } });
    EXPECT_EQ(system.totalRuns(), 1);
}

TEST(at_most_once, holds_when_instances_die_under_orders_that_are_sent_again_elsewhere)
{
    fleet_options options;
    options.serviceMs = 60;
    fleet system(options);
    ASSERT_EQ(system.publishAndWait(), "");
    constexpr int orders = 12;
    std::map<std::string, std::vector<http_reply>> replies;
    for (int i = 0; i < orders; ++i)
        replies["order-" + std::to_string(i)];
    std::vector<std::thread> callers;
    callers.reserve(orders);
    for (auto& [id, all] : replies) {
        callers.emplace_back([&system, &key = id, &received = all] {
            for (const auto* instance : { "i1", "i2", "i3" })
                received.push_back(
                    system.send(instance, "POST", "/shop/orders", "ronda", withIdempotencyKey(key), "tag=7"));
        });
    }
    std::this_thread::sleep_for(milliseconds { 40 });
    system.entry("i1").signal(SIGKILL);
    for (auto& caller : callers)
        caller.join();
    expectAtMostOnce(system, replies);
}

TEST(at_most_once, refuses_as_not_run_while_no_claim_can_be_made_and_runs_after_the_outage)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    system.partitionFromPlatform("d1");
    const auto first = system.send("i1", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(first.status, 503) << first.body;
    EXPECT_EQ(first.header("Flamingo-Execution"), "not-run");
    EXPECT_EQ(system.totalRuns(), 0);
    const auto lookup = system.send("i1", "GET", "/shop/items/7");
    EXPECT_EQ(lookup.status, 200) << lookup.body;
    const auto second = system.send("i2", "POST", "/shop/deposits", "ronda", withIdempotencyKey("dep-1"), "amount=5");
    EXPECT_EQ(second.status, 200) << second.body;
    expectAtMostOnce(system, { { "dep-1", { first, second } } });
}

TEST(at_most_once, holds_while_the_platform_loses_the_answers_of_writes)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    std::map<std::string, std::vector<http_reply>> replies;
    constexpr int orders = 6;
    system.setPlatformFaults(R"({"lose_answers": 4})");
    for (int i = 0; i < orders; ++i) {
        const auto key = "order-" + std::to_string(i);
        for (const auto* instance : { "i1", "i2", "i3" })
            replies[key].push_back(
                system.send(instance, "POST", "/shop/orders", "ronda", withIdempotencyKey(key), "tag=7"));
    }
    expectAtMostOnce(system, replies);
    for (const auto& [id, all] : replies)
        EXPECT_EQ(all.back().status, 200) << id << " " << all.back().body;
}

} // namespace flamingoroute::testing
