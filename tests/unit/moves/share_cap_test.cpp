#include "flamingoroute/moves/share_cap.hpp"

#include <gtest/gtest.h>

#include <random>
#include <thread>

namespace flamingoroute {

namespace {

const version_id oldVersion("v1");
const version_id newVersion("v2");

service serviceWithRoutes()
{
    service result;
    result.name = service_id("mostrador");
    result.currentVersion = oldVersion;
    result.routes.resize(2);
    result.routes[0].name = "tickets";
    result.routes[1].name = "stock";
    return result;
}

version_split splitAt(int percent) { return { service_id("mostrador"), oldVersion, newVersion, percent }; }

} // namespace

TEST(share_cap, keeps_the_floor_of_the_share_on_each_route_and_instance_and_in_any_sum)
{
    const auto testService = serviceWithRoutes();
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<share_cap> instances(9);
        const int percent = 1 + static_cast<int>(random() % 99);
        for (auto& each : instances)
            each.update({ splitAt(percent) });
        long attempts = 0;
        long toNew = 0;
        for (int round = 0; round < 3000; ++round) {
            auto& instance = instances[random() % instances.size()];
            const auto& matchedRoute = testService.routes[random() % 2];
            const bool isRetry = random() % 10 == 0;
            ++attempts;
            toNew += instance.choose(testService, matchedRoute, isRetry) == newVersion ? 1 : 0;
            ASSERT_LE(toNew * 100, attempts * percent) << "seed " << seed << " round " << round;
        }
        EXPECT_GT(toNew * 100, (attempts * percent) / 2) << "seed " << seed;
    }
}

TEST(share_cap, carries_less_than_one_request_from_one_window_to_the_next)
{
    const auto testService = serviceWithRoutes();
    share_cap cap;
    cap.update({ splitAt(7) });
    std::vector<int> choices;
    choices.reserve(1000);
    for (int round = 0; round < 1000; ++round)
        choices.push_back(cap.choose(testService, testService.routes[0]) == newVersion ? 1 : 0);
    for (std::size_t first = 0; first < choices.size(); ++first) {
        int toNew = 0;
        for (std::size_t last = first; last < std::min(first + 200, choices.size()); ++last) {
            toNew += choices[last];
            const auto attempts = static_cast<int>(last - first + 1);
            ASSERT_LT(toNew * 100, attempts * 7 + 100);
        }
    }
}

TEST(share_cap, drops_the_credit_of_a_higher_share)
{
    const auto testService = serviceWithRoutes();
    share_cap cap;
    cap.update({ splitAt(99) });
    EXPECT_EQ(cap.choose(testService, testService.routes[0]), oldVersion);
    cap.update({ splitAt(1) });
    for (int round = 0; round < 99; ++round)
        EXPECT_EQ(cap.choose(testService, testService.routes[0]), oldVersion);
    EXPECT_EQ(cap.choose(testService, testService.routes[0]), newVersion);
}

TEST(share_cap, sends_retries_to_the_old_version)
{
    const auto testService = serviceWithRoutes();
    share_cap cap;
    cap.update({ splitAt(100) });
    EXPECT_EQ(cap.choose(testService, testService.routes[0], false), newVersion);
    EXPECT_EQ(cap.choose(testService, testService.routes[0], true), oldVersion);
}

TEST(share_cap, runs_the_current_version_without_a_split)
{
    const auto testService = serviceWithRoutes();
    share_cap cap;
    EXPECT_EQ(cap.choose(testService, testService.routes[0]), oldVersion);
}

TEST(share_cap, keeps_the_share_when_many_threads_choose)
{
    const auto testService = serviceWithRoutes();
    share_cap cap;
    cap.update({ splitAt(30) });
    std::atomic<int> toNew { 0 };
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int number = 0; number < 4; ++number) {
        threads.emplace_back([&] {
            for (int round = 0; round < 5000; ++round)
                toNew += cap.choose(testService, testService.routes[0]) == newVersion ? 1 : 0;
        });
    }
    for (auto& each : threads)
        each.join();
    EXPECT_EQ(toNew, 6000);
}

} // namespace flamingoroute
