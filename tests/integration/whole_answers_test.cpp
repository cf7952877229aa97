#include "support/process/fleet.hpp"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace flamingoroute::testing {

namespace {

void setAllUpstreams(const fleet& system, const std::string& faults)
{
    for (const auto& upstream : system.upstreams())
        system.setUpstreamFaults(upstream, faults);
}

} // namespace

TEST(whole_answers, never_gives_a_cut_answer_to_the_caller)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    setAllUpstreams(system, R"({"cut_answers": 1})");
    const auto order = system.send("i1", "POST", "/shop/orders", "ronda", { { "Test-Request-Id", "cut-1" } }, "tag=7");
    EXPECT_EQ(order.status, 504) << order.body;
    EXPECT_EQ(order.header("Flamingo-Execution"), "unknown");
    EXPECT_EQ(system.runsById()["cut-1"], 1);
    setAllUpstreams(system, R"({"cut_answers": 1})");
    const auto lookup = system.send("i1", "GET", "/shop/items/7", "ronda", { { "Test-Request-Id", "cut-2" } });
    EXPECT_TRUE(lookup.status == 200 || lookup.header("Flamingo-Execution") == "unknown") << lookup.body;
    EXPECT_TRUE(lookup.status != 200 || lookup.body.find("cut-2") != std::string::npos) << lookup.body;
}

TEST(whole_answers, never_gives_an_answer_cut_on_the_way_to_the_caller)
{
    fleet system;
    ASSERT_EQ(system.publishAndWait(), "");
    link_fault truncation;
    truncation.resetAfterAnswerBytes = 100'000;
    const std::string longOrder(1'000'000, 'x'); // echoed in the answer
    system.proxy().setFault([](const std::string& name) { return name.starts_with("entries>"); }, truncation);
    const auto order
        = system.send("i1", "POST", "/shop/orders", "ronda", { { "Test-Request-Id", "cut-3" } }, longOrder);
    EXPECT_EQ(order.status, 504) << order.body;
    EXPECT_EQ(order.header("Flamingo-Execution"), "unknown");
    EXPECT_LE(system.runsById()["cut-3"], 1);
}

TEST(whole_answers, gives_each_caller_its_own_answer_when_some_come_late)
{
    fleet_options options;
    options.serviceMs = 20;
    fleet system(options);
    ASSERT_EQ(system.publishAndWait(), "");
    link_fault slow;
    slow.delay = milliseconds { 30 };
    system.proxy().setFault("entries>u1", slow);
    constexpr int requests = 40;
    std::vector<std::thread> callers;
    callers.reserve(requests);
    std::vector<http_reply> replies(requests);
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([&system, &reply = replies[i], id = "own-" + std::to_string(i) + "-"] {
            reply = system.send("i1", "GET", "/shop/items/7", "ronda", { { "Test-Request-Id", id } });
        });
    }
    for (auto& caller : callers)
        caller.join();
    for (int i = 0; i < requests; ++i) {
        const auto& reply = replies[i];
        const bool isOwn = reply.body.find("own-" + std::to_string(i) + "-") != std::string::npos;
        const bool isRefusal = reply.status != 200 && !reply.header("Flamingo-Execution").empty();
        EXPECT_TRUE(isOwn || isRefusal) << reply.status << reply.body << reply.failure;
    }
}

} // namespace flamingoroute::testing
