#include "flamingoroute/fleet/retry_split.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

TEST(retry_split, keeps_nine_instances_within_ratio_and_slack_when_every_request_wants_a_retry)
{
    fleet_bounds bounds;
    bounds.retryRatio = 0.2;
    bounds.retrySlack = 58;
    constexpr std::size_t members = 9;
    const service_id service("mostrador");
    std::vector<retry_split> instances(members, retry_split(bounds));
    int requests = 0;
    int retries = 0;
    for (int round = 0; round < 200; ++round) {
        for (auto& each : instances) {
            each.recordRequest(service, members);
            ++requests;
            retries += each.takeRetry(service, members) ? 1 : 0;
        }
        EXPECT_LE(retries, 0.2 * requests + 58);
    }
    EXPECT_GT(retries, 0.1 * requests);
}

TEST(retry_split, keeps_the_parts_of_two_services_apart)
{
    fleet_bounds bounds;
    bounds.retrySlack = 9;
    retry_split split(bounds);
    while (split.takeRetry(service_id("mostrador"), 1)) { }
    EXPECT_TRUE(split.takeRetry(service_id("bodega"), 1));
}

} // namespace flamingoroute
