#include "flamingoroute/serving/body_policies.hpp"

#include "flamingoroute/requests/header_rules.hpp"
#include "serving_fixture.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

http_request without(http_request request, const std::string& header)
{
    std::erase_if(request.headers, [&](const auto& each) { return each.name == header; });
    return request;
}

} // namespace

TEST(body_policies, refuse_by_the_head_what_admission_refuses_and_count_it)
{
    testing::serving_fixture node;
    const auto policy = makeBodyPolicy(node.state);
    auto request = node.orderRequest();
    EXPECT_FALSE(policy.admit(request).refusal);
    auto unknown = request;
    unknown.target = "/unknown";
    EXPECT_EQ(policy.admit(unknown).refusal->status, 404);
    const auto keyless = policy.admit(without(request, "Authorization"));
    ASSERT_TRUE(keyless.refusal);
    EXPECT_EQ(keyless.refusal->status, 401);
    EXPECT_EQ(node.state.counters.decisions["unknown_route"], 1U);
    EXPECT_EQ(node.state.counters.decisions["wrong_key"], 1U);
    EXPECT_TRUE(node.state.openRequests.empty());
}

TEST(body_policies, promise_that_a_request_without_room_has_not_run_and_say_when_to_return)
{
    testing::serving_fixture node;
    const auto answer = makeBodyPolicy(node.state).refuse(body_refusal::no_memory);
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(headerValue(answer.headers, "Retry-After").empty());
    EXPECT_EQ(node.state.counters.decisions["no_body_memory"], 1U);
}

} // namespace flamingoroute
