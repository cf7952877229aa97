#include "flamingoroute/requests/retry_budget.hpp"

#include <gtest/gtest.h>

namespace flamingoroute::testing {

TEST(retry_budget, keeps_retries_to_a_fraction_of_the_requests_plus_the_floor)
{
    const retry_limits limits { 0.1, 1, 10 };
    retry_budget budget(limits);
    const customer_id busy("busy");
    int retries = 0;
    constexpr int requests = 5000;
    for (int i = 0; i < requests; ++i) {
        const monotonic_time now { milliseconds { i } };
        budget.recordRequest(busy, now);
        retries += budget.takeRetry(busy, now) ? 1 : 0;
    }
    EXPECT_LE(retries, requests / 10 + 5 + 10);
    EXPECT_GE(retries, requests / 10);
}

TEST(retry_budget, keeps_the_budgets_of_customers_apart)
{
    retry_budget budget({ 0.1, 0, 2 });
    const monotonic_time now { milliseconds { 0 } };
    while (budget.takeRetry(customer_id("greedy"), now)) { }
    EXPECT_TRUE(budget.takeRetry(customer_id("modest"), now));
}

} // namespace flamingoroute::testing
