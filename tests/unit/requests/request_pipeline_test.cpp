#include "flamingoroute/requests/request_pipeline.hpp"

#include "flamingoroute/requests/header_rules.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace flamingoroute::testing {

namespace {

attempt_result ended(attempt_outcome outcome, error_code code = error_code::unavailable)
{
    attempt_result result;
    result.outcome = outcome;
    result.answer.body = "done";
    if (outcome != attempt_outcome::answered)
        result.failure = { code, "upstream.read", "u", "fake" };
    return result;
}

class request_pipeline_test : public ::testing::Test {
public:
    request_pipeline_test()
    {
        auto published = std::make_shared<configuration>();
        service tills;
        tills.name = service_id("tills");
        route deposits { "deposits", "/deposits", {}, false };
        route orders { "orders", "/orders", {}, false };
        orders.requiresIdempotencyKey = true;
        tills.routes = { deposits, orders, route { "tickets", "/tickets", {}, true } };
        published->services = { tills };
        hooks.now = [this] { return now; };
        hooks.currentConfiguration = [published] { return published; };
        hooks.authenticate = [this](const std::string&) { return authenticate(); };
        hooks.admit = [this](auto&, auto) -> tl::expected<void, refusal> {
            ++admissions;
            return {};
        };
        hooks.chooseVersion = [](auto&, auto&) { return version_id("v1"); };
        hooks.acquireUpstream = [this](const upstream_requirements& requirements) { return acquire(requirements); };
        hooks.releaseUpstream = [this](auto&, const attempt_result& result) { released.push_back(result); };
        hooks.attempt = [this](auto&, auto&, auto) { return attempt(); };
        hooks.observe = [this](const request_record& record) { observed = record; };
        hooks.claim = [this](auto&, auto&, auto&, auto) { return decision; };
        hooks.settleClaim = [this](auto&, auto&, execution_state execution, auto&) { settled = execution; };
        hooks.checkQuarantine = [this](auto&, auto&, auto&) { return quarantine; };
        hooks.recordBrokenAttempt = [this](auto&, auto&, auto&, auto&) { ++broken; };
        decision.mayRun = true;
    }

    tl::expected<customer_id, refusal> authenticate()
    {
        if (++authentications <= keyValidFor)
            return customer_id("mender");
        refusal why;
        why.reason = refusal_reason::wrong_key;
        return tl::unexpected(why);
    }

    tl::expected<chosen_upstream, refusal> acquire(const upstream_requirements& requirements)
    {
        chosen_upstream chosen;
        chosen.target.name = upstream_id("u" + std::to_string(requirements.tried.size()));
        return chosen;
    }

    attempt_result attempt()
    {
        ++attempts;
        if (outcomes.empty())
            return ended(attempt_outcome::answered);
        const auto result = outcomes.front();
        outcomes.pop_front();
        return result;
    }

    caller_answer handle(const std::string& target, const std::string& idempotencyKey = "")
    {
        caller_request request;
        request.method = "POST";
        request.target = target;
        request.idempotencyKey = idempotencyKey;
        return request_pipeline(hooks, { 0.1, 0, 1 }).handle(request);
    }

    static std::string executionOf(const caller_answer& answer)
    {
        return headerValue(answer.headers, "Flamingo-Execution");
    }

    monotonic_time now { milliseconds { 0 } };
    pipeline_hooks hooks;
    std::deque<attempt_result> outcomes;
    claim_decision decision;
    std::optional<refusal> quarantine;
    std::optional<execution_state> settled;
    std::vector<attempt_result> released;
    request_record observed;
    int authentications = 0;
    int keyValidFor = 100;
    int admissions = 0;
    int attempts = 0;
    int broken = 0;
};

} // namespace

TEST_F(request_pipeline_test, never_sends_an_unrepeatable_request_again_once_it_may_have_run)
{
    outcomes = { ended(attempt_outcome::not_sent), ended(attempt_outcome::unknown) };
    const auto answer = handle("/deposits");
    EXPECT_EQ(attempts, 2);
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(executionOf(answer), "unknown");
    EXPECT_EQ(admissions, 1);
    EXPECT_EQ(broken, 1);
}

TEST_F(request_pipeline_test, retries_a_repeatable_request_and_charges_the_rate_for_the_second_run)
{
    outcomes = { ended(attempt_outcome::unknown) };
    EXPECT_EQ(handle("/tickets/7").body, "done");
    EXPECT_EQ(attempts, 2);
    EXPECT_EQ(admissions, 2);
}

TEST_F(request_pipeline_test, never_says_not_run_after_an_attempt_that_may_have_run)
{
    outcomes = { ended(attempt_outcome::unknown), ended(attempt_outcome::not_sent), ended(attempt_outcome::not_sent) };
    EXPECT_EQ(executionOf(handle("/tickets/7")), "unknown");
}

TEST_F(request_pipeline_test, reports_not_run_if_all_upstreams_refused)
{
    outcomes = { ended(attempt_outcome::refused), ended(attempt_outcome::refused), ended(attempt_outcome::refused) };
    const auto answer = handle("/deposits");
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(executionOf(answer), "not-run");
    EXPECT_EQ(attempts, 2) << "the budget allows one retry";
}

TEST_F(request_pipeline_test, checks_the_key_again_when_the_request_leaves_the_queue)
{
    keyValidFor = 1;
    const auto answer = handle("/deposits");
    EXPECT_EQ(answer.status, 401);
    EXPECT_EQ(executionOf(answer), "not-run");
    EXPECT_EQ(attempts, 0);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_TRUE(released[0].isSlotUnused);
}

TEST_F(request_pipeline_test, sends_nothing_after_the_deadline)
{
    hooks.acquireUpstream = [this](const upstream_requirements& requirements) {
        now += seconds { 6 };
        return acquire(requirements);
    };
    EXPECT_EQ(executionOf(handle("/deposits")), "not-run");
    EXPECT_EQ(attempts, 0);
}

TEST_F(request_pipeline_test, runs_a_claimed_request_only_with_the_right_to_run)
{
    decision.mayRun = false;
    refusal why;
    why.reason = refusal_reason::duplicate_in_progress;
    why.execution = execution_state::unknown;
    decision.refused = why;
    EXPECT_EQ(executionOf(handle("/deposits", "key-1")), "unknown");
    EXPECT_EQ(attempts, 0);
    EXPECT_FALSE(settled);
}

TEST_F(request_pipeline_test, settles_the_claim_with_the_outcome)
{
    handle("/deposits", "key-1");
    EXPECT_EQ(settled, execution_state::ran);
    outcomes = { ended(attempt_outcome::unknown) };
    handle("/deposits", "key-2");
    EXPECT_EQ(settled, execution_state::unknown);
    keyValidFor = authentications + 1;
    handle("/deposits", "key-3");
    EXPECT_EQ(settled, execution_state::not_run);
}

TEST_F(request_pipeline_test, returns_the_earlier_answer_without_another_run)
{
    decision.mayRun = false;
    decision.earlierAnswer = caller_answer { 201, {}, "paid" };
    EXPECT_EQ(handle("/deposits", "key-1").body, "paid");
    EXPECT_EQ(attempts, 0);
}

TEST_F(request_pipeline_test, refuses_a_request_without_the_idempotency_key_that_its_route_requires)
{
    EXPECT_EQ(handle("/orders").status, 400);
    EXPECT_EQ(handle("/orders", std::string(256, 'k')).status, 400);
    EXPECT_EQ(handle("/orders", "key-1").status, 200);
}

TEST_F(request_pipeline_test, refuses_a_quarantined_request_before_each_attempt)
{
    outcomes = { ended(attempt_outcome::unknown) };
    hooks.recordBrokenAttempt = [this](auto&, auto&, auto&, auto&) {
        refusal why;
        why.reason = refusal_reason::quarantined;
        quarantine = why;
    };
    EXPECT_EQ(executionOf(handle("/tickets/7")), "unknown");
    EXPECT_EQ(attempts, 1);
    const auto again = handle("/tickets/7");
    EXPECT_EQ(again.status, 503);
    EXPECT_EQ(executionOf(again), "not-run");
    EXPECT_EQ(attempts, 1);
}

TEST_F(
    request_pipeline_test, delays_the_refusal_after_a_broken_attempt_until_its_notice_can_have_reached_other_instances)
{
    std::optional<monotonic_time> heldUntil;
    hooks.sleepUntil = [&](monotonic_time until) { heldUntil = until; };
    outcomes = { ended(attempt_outcome::unknown) };
    EXPECT_EQ(executionOf(handle("/deposits")), "unknown");
    ASSERT_TRUE(heldUntil);
    EXPECT_GT(*heldUntil, now);
    heldUntil.reset();
    outcomes = { ended(attempt_outcome::unknown, error_code::timeout) };
    EXPECT_EQ(executionOf(handle("/deposits")), "unknown");
    EXPECT_FALSE(heldUntil) << "an upstream that is only slow is not reported";
}

} // namespace flamingoroute::testing
