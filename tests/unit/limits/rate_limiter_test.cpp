#include "flamingoroute/limits/rate_limiter.hpp"

#include "flamingoroute/limits/lease_notice.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace flamingoroute::testing {

namespace {

const customer_id limited("ronda");
constexpr incarnation ownIncarnation = 5;

configuration oneRate()
{
    configuration objects;
    objects.rates = { { "rate", limited, 1, 30 } };
    return objects;
}

envelope leaseOf(int depth)
{
    const auto validUntil = monotonicNow() + seconds { 60 };
    lease_notice notice;
    notice.pools
        = { { limited.value(), 1, 1, ownIncarnation, { 0.001, depth }, true, validUntil.time_since_epoch().count() } };
    return { instance_id("a"), process_role::control, 1, 1, message_kind::lease_notice, packMessage(notice) };
}

rate_limiter makeLimiter()
{
    return { instance_id("a"), ownIncarnation, limit_settings {},
        [](const instance_id&, process_role, message_kind, const std::string&) {} };
}

} // namespace

TEST(rate_limiter, admits_customers_without_a_rate_freely)
{
    auto limiter = makeLimiter();
    limiter.adopt(oneRate());
    EXPECT_TRUE(limiter.admit(customer_id("xela"), monotonicNow()));
}

TEST(rate_limiter, gives_each_token_to_one_of_many_threads)
{
    auto limiter = makeLimiter();
    limiter.adopt(oneRate());
    limiter.receive(leaseOf(30));
    std::atomic<int> admitted { 0 };
    std::vector<std::thread> threads;
    const int threadCount = 8;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (int call = 0; call < 10; ++call)
                admitted += limiter.admit(limited, monotonicNow() + milliseconds { 5 }).has_value();
        });
    }
    for (auto& thread : threads)
        thread.join();
    EXPECT_EQ(admitted, 30);
}

TEST(rate_limiter, returns_not_run_and_a_time_after_which_to_retry)
{
    auto limiter = makeLimiter();
    limiter.adopt(oneRate());
    const auto answer = limiter.admit(limited, monotonicNow() + milliseconds { 10 });
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().reason, refusal_reason::over_rate);
    EXPECT_EQ(answer.error().execution, execution_state::not_run);
    EXPECT_GT(answer.error().retryAfter, milliseconds { 0 });
}

} // namespace flamingoroute::testing
