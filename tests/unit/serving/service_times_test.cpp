#include "flamingoroute/serving/service_times.hpp"

#include "flamingoroute/model/routing_rule.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(service_times, estimates_warm_and_cold_times_separately)
{
    routing_rule rule;
    rule.name = "read";
    rule.objective = milliseconds(400);
    service_times times;
    for (int i = 0; i < 200; ++i) {
        times.update(rule, microseconds(144'000), true);
        times.update(rule, microseconds(480'000), false);
        times.update(rule, microseconds(144'000), false);
    }
    EXPECT_NEAR(times.of(rule).warm.count(), 144'000, 5'000);
    EXPECT_NEAR(times.of(rule).cold.count(), 480'000, 20'000);
}

} // namespace flamingoroute
