#include "flamingoroute/requests/pool_policy.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

namespace {

monotonic_time at(milliseconds time) { return monotonic_time { time }; }

pool_limits limits()
{
    pool_limits result;
    result.trustedIdle = milliseconds { 250 };
    result.maxIdle = milliseconds { 5000 };
    result.earlyRetryShare = 0.1;
    result.earlyRetryBurst = 2;
    return result;
}

} // namespace

TEST(pool_policy, uses_an_idle_connection_for_an_unrepeatable_request_only_for_a_short_time)
{
    const pool_policy policy(limits());
    EXPECT_EQ(policy.classify(at(milliseconds { 0 }), false, at(milliseconds { 250 })), idle_connection_use::use);
    EXPECT_EQ(policy.classify(at(milliseconds { 0 }), false, at(milliseconds { 251 })), idle_connection_use::skip);
    EXPECT_EQ(policy.classify(at(milliseconds { 0 }), true, at(milliseconds { 251 })),
        idle_connection_use::use_with_early_retry);
    EXPECT_EQ(policy.classify(at(milliseconds { 0 }), true, at(milliseconds { 5001 })), idle_connection_use::close);
}

TEST(pool_policy, closes_all_connections_that_have_not_answered_since_one_became_unresponsive)
{
    pool_policy policy(limits());
    policy.recordUnresponsive(at(milliseconds { 1000 }));
    EXPECT_EQ(policy.classify(at(milliseconds { 999 }), true, at(milliseconds { 1300 })), idle_connection_use::close);
    EXPECT_EQ(policy.classify(at(milliseconds { 1200 }), false, at(milliseconds { 1300 })), idle_connection_use::use);
}

TEST(pool_policy, limits_early_retries_to_a_fraction_of_the_exchanges)
{
    pool_policy policy(limits());
    int retries = 0;
    constexpr int exchanges = 1000;
    for (int i = 0; i < exchanges; ++i) {
        policy.recordExchange();
        retries += policy.takeEarlyRetry() ? 1 : 0;
    }
    EXPECT_LE(retries, exchanges / 10 + 2);
    EXPECT_GE(retries, exchanges / 10 - 1);
}

} // namespace flamingoroute::testing
