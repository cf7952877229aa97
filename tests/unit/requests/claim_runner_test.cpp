#include "flamingoroute/requests/claim_runner.hpp"

#include "flamingoroute/requests/claim_record.hpp"
#include "flamingoroute/requests/claim_sweep.hpp"
#include "mock_object_store.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

using ::testing::_;
using ::testing::Return;
using ::testing::StrictMock;

const customer_id mender("mender");
const service_id tills("tills");

tl::unexpected<error> failure(error_code code) { return tl::unexpected(error { code, "store", "", "fake" }); }

caller_request deposit(const std::string& id, const std::string& body = "amount=5")
{
    caller_request request;
    request.id = id;
    request.method = "POST";
    request.target = "/deposits";
    request.body = body;
    request.idempotencyKey = "key-1";
    return request;
}

class claim_runner_test : public ::testing::Test {
public:
    claim_runner_test()
        : runner(store, "entry-1/7", {}, hooks())
    {
    }

    claim_runner_hooks hooks()
    {
        return { [this] { return now; }, [this](microseconds time) { now += time; }, [] { return 1000; },
            [](const settlement_job&) { return false; } };
    }

    claim_decision claim(const caller_request& request)
    {
        return runner.claim(mender, tills, request, monotonic_time { seconds { 2 } });
    }

    /// @return another instance's claim of the same deposit
    static stored_object claimOfOther(claim_state state, const std::optional<caller_answer>& answer = std::nullopt,
        const std::string& body = "amount=5")
    {
        const auto record = claim_record { "entry-2/3", 9, state, fingerprintOf(deposit("x", body)), 1000, answer };
        return { "claim", "c", 40, encodeClaim(record) };
    }

    monotonic_time now { milliseconds { 0 } };
    StrictMock<mock_object_store> store;
    claim_runner runner;
};

} // namespace

TEST(claim_record, round_trips_through_json)
{
    const caller_answer answer { 201, { { "X-Note", "a\"b" } }, std::string("\0\xff binary", 9) };
    const claim_record record { "entry-1/7", 12, claim_state::answered, "abc", 1000, answer };
    EXPECT_EQ(decodeClaim(encodeClaim(record)), record);
    EXPECT_FALSE(decodeClaim("{\"writer\":1}"));
}

TEST(claim_name, is_the_same_for_each_submission_and_differs_by_customer_and_key)
{
    const auto name = claimNameOf(mender, tills, "key-1");
    EXPECT_EQ(name, claimNameOf(mender, tills, "key-1"));
    EXPECT_NE(name, claimNameOf(customer_id("mendertills"), service_id(""), "key-1"));
    EXPECT_NE(name, claimNameOf(mender, tills, "key-2"));
}

TEST_F(claim_runner_test, grants_the_right_to_run_once_the_store_confirms)
{
    EXPECT_CALL(store, create).WillOnce(Return(5));
    EXPECT_TRUE(claim(deposit("r1")).mayRun);
}

TEST_F(claim_runner_test, reads_back_a_create_whose_answer_was_lost)
{
    std::string written;
    EXPECT_CALL(store, create).WillOnce([&](auto, auto, const std::string& value) {
        written = value;
        return failure(error_code::outcome_unknown);
    });
    EXPECT_CALL(store, get).WillOnce([&](auto, auto) { return stored_object { "claim", "c", 6, written }; });
    EXPECT_TRUE(claim(deposit("r1")).mayRun);
}

TEST_F(claim_runner_test, refuses_as_not_run_while_the_platform_is_down)
{
    EXPECT_CALL(store, create).WillOnce(Return(failure(error_code::unavailable)));
    const auto decision = claim(deposit("r1"));
    ASSERT_TRUE(decision.refused);
    EXPECT_EQ(decision.refused->reason, refusal_reason::unclaimable);
    EXPECT_EQ(decision.refused->execution, execution_state::not_run);
}

TEST_F(claim_runner_test, returns_the_answer_of_the_first_run_to_a_later_submission)
{
    const caller_answer answer { 201, {}, "paid" };
    EXPECT_CALL(store, create).WillOnce(Return(failure(error_code::conflict)));
    EXPECT_CALL(store, get).WillOnce(Return(claimOfOther(claim_state::answered, answer)));
    EXPECT_EQ(claim(deposit("r1")).earlierAnswer, answer);
}

TEST_F(claim_runner_test, reports_unknown_if_the_first_submission_never_finishes)
{
    EXPECT_CALL(store, create).WillOnce(Return(failure(error_code::conflict)));
    EXPECT_CALL(store, get).WillRepeatedly(Return(claimOfOther(claim_state::running)));
    const auto decision = claim(deposit("r1"));
    EXPECT_FALSE(decision.mayRun);
    ASSERT_TRUE(decision.refused);
    EXPECT_EQ(decision.refused->reason, refusal_reason::duplicate_in_progress);
    EXPECT_EQ(decision.refused->execution, execution_state::unknown);
}

TEST_F(claim_runner_test, reports_unknown_if_a_claim_exists_but_cannot_be_read)
{
    EXPECT_CALL(store, create).WillOnce(Return(failure(error_code::conflict)));
    EXPECT_CALL(store, get).WillRepeatedly(Return(failure(error_code::unavailable)));
    const auto decision = claim(deposit("r1"));
    ASSERT_TRUE(decision.refused);
    EXPECT_EQ(decision.refused->execution, execution_state::unknown);
}

TEST_F(claim_runner_test, refuses_another_request_under_the_same_key)
{
    EXPECT_CALL(store, create).WillOnce(Return(failure(error_code::conflict)));
    EXPECT_CALL(store, get).WillOnce(Return(claimOfOther(claim_state::answered, std::nullopt, "amount=9")));
    const auto decision = claim(deposit("r1"));
    ASSERT_TRUE(decision.refused);
    EXPECT_EQ(decision.refused->reason, refusal_reason::idempotency_key_reused);
    EXPECT_EQ(decision.refused->execution, execution_state::not_run);
}

TEST_F(claim_runner_test, releases_the_claim_of_a_request_that_definitely_did_not_run)
{
    EXPECT_CALL(store, create).WillOnce(Return(5));
    EXPECT_CALL(store, remove(_, _, 5)).WillOnce(Return(mock_object_store::void_result {}));
    ASSERT_TRUE(claim(deposit("r1")).mayRun);
    runner.settle(deposit("r1"), execution_state::not_run, std::nullopt);
}

TEST_F(claim_runner_test, keeps_the_claim_of_a_request_that_may_have_run)
{
    EXPECT_CALL(store, create).WillOnce(Return(5));
    EXPECT_CALL(store, update(_, _, _, 5)).WillOnce([](auto, auto, const std::string& value, auto) {
        EXPECT_EQ(decodeClaim(value)->state, claim_state::unknown);
        return 6;
    });
    ASSERT_TRUE(claim(deposit("r1")).mayRun);
    runner.settle(deposit("r1"), execution_state::unknown, std::nullopt);
}

TEST_F(claim_runner_test, stores_no_answer_that_is_too_large)
{
    EXPECT_CALL(store, create).WillOnce(Return(5));
    EXPECT_CALL(store, update).WillOnce([](auto, auto, const std::string& value, auto) {
        EXPECT_EQ(decodeClaim(value)->state, claim_state::answered);
        EXPECT_FALSE(decodeClaim(value)->answer);
        return 6;
    });
    ASSERT_TRUE(claim(deposit("r1")).mayRun);
    runner.settle(deposit("r1"), execution_state::ran, caller_answer { 200, {}, std::string(100'000, 'x') });
}

TEST(claim_sweep, deletes_a_bounded_number_of_claims_and_only_those_past_the_retention)
{
    std::vector<stored_object> claims;
    for (int i = 0; i < 10; ++i) {
        const claim_record record { "w", 1, claim_state::running, "f", 1000 + i, std::nullopt };
        claims.push_back({ "claim-00", std::to_string(i), 1, encodeClaim(record) });
    }
    EXPECT_EQ(expiredClaims(claims, 1105, seconds { 100 }, 100).size(), 5U);
    EXPECT_EQ(expiredClaims(claims, 1105, seconds { 100 }, 2).size(), 2U);
}

} // namespace flamingoroute::testing
