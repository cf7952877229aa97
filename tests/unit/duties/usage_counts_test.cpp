#include "flamingoroute/duties/usage_collector.hpp"
#include "flamingoroute/duties/usage_counter.hpp"
#include "flamingoroute/duties/usage_ledger.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

usage_counts countsOf(const std::string& instance, const std::string& region, std::uint64_t requests)
{
    usage_counts counts;
    counts.instance = instance;
    counts.incarnation = 1;
    counts.region = region;
    counts.window = 200;
    counts.requests = { { "anna", requests } };
    return counts;
}

} // namespace

TEST(usage_counter, counts_attempts_in_the_window_in_which_they_start)
{
    usage_counter counter { seconds(5) };
    const monotonic_time start { seconds(7) };
    counter.observeClock(seconds(1002), start);
    counter.add(customer_id("anna"), start);
    counter.add(customer_id("anna"), start + seconds(3));
    counter.add(customer_id("bert"), start);
    counter.takeBack(customer_id("bert"), start);
    EXPECT_EQ(counter.countsOf(200), (customer_counts { { "anna", 1 } }));
    EXPECT_EQ(counter.countsOf(201), (customer_counts { { "anna", 1 } }));
}

TEST(usage_counter, adopts_a_step_of_the_clock_only_after_it_has_lasted)
{
    usage_counter counter { seconds(5) };
    monotonic_time now { seconds(7) };
    counter.observeClock(seconds(1002), now);
    EXPECT_FALSE(counter.observeClock(seconds(5000), now));
    EXPECT_FALSE(counter.observeClock(seconds(1004), now + seconds(2)));
    EXPECT_FALSE(counter.observeClock(seconds(5003), now + seconds(3)));
    EXPECT_EQ(counter.windowAt(now), 200);
    EXPECT_TRUE(counter.observeClock(seconds(5013), now + seconds(13)));
    EXPECT_EQ(counter.windowAt(now + seconds(13)), 1002);
}

TEST(usage_counter, counts_nothing_without_a_window)
{
    usage_counter counter { milliseconds(0) };
    counter.observeClock(seconds(1002), monotonic_time(seconds(7)));
    counter.add(customer_id("anna"), monotonic_time(seconds(7)));
    EXPECT_FALSE(counter.isEnabled());
}

TEST(usage_collector, sums_300_instances_exactly_through_the_relays_of_their_regions)
{
    constexpr int instances = 300;
    constexpr int customers = 75;
    usage_collector holder;
    std::map<std::string, usage_collector> relays;
    for (int i = 0; i < instances; ++i) {
        auto counts = countsOf("instance-" + std::to_string(i), "region-" + std::to_string(i % 3), 0);
        counts.requests.clear();
        for (int c = 0; c < customers; ++c)
            counts.requests["customer-" + std::to_string(c)] = 1000 + i;
        constexpr std::size_t maxBytes = 4096;
        EXPECT_LT(packMessage(counts).size(), maxBytes);
        for (int repeat = 0; repeat < 2; ++repeat)
            (i % 3 == 0 ? holder : relays[counts.region]).recordInstance(counts, 201);
    }
    for (const auto& [region, relay] : relays) {
        auto partial = relay.sumOfRegion(region, 200);
        holder.recordRegion(partial, 201);
        --partial.instances;
        holder.recordRegion(partial, 201);
    }
    const auto total = holder.total(200);
    EXPECT_EQ(total.instances, 300U);
    EXPECT_EQ(total.requests.size(), 75U);
    EXPECT_EQ(total.requests.at("customer-7"), 300U * 1000 + 300 * 299 / 2);
}

TEST(usage_collector, replaces_repeated_counts_and_adds_those_of_a_restarted_instance)
{
    usage_collector collector;
    collector.recordInstance(countsOf("a", "east", 5), 201);
    collector.recordInstance(countsOf("a", "east", 6), 201);
    auto restarted = countsOf("a", "east", 2);
    restarted.incarnation = 2;
    collector.recordInstance(restarted, 201);
    EXPECT_EQ(collector.total(200).requests.at("anna"), 8U);
    EXPECT_EQ(collector.total(200).instances, 1U);
}

TEST(usage_collector, ignores_windows_far_from_the_open_one)
{
    usage_collector collector;
    collector.recordInstance(countsOf("a", "east", 5), 900);
    collector.recordInstance(countsOf("a", "east", 5), 100);
    EXPECT_EQ(collector.oldestWindow(), std::nullopt);
}

TEST(usage_ledger, is_read_as_it_was_written)
{
    const usage_ledger ledger { 201, { { 200, { { "anna", 5 } } }, { 201, {} } } };
    EXPECT_EQ(parseLedger(encodeLedger(ledger)).value(), ledger);
}

TEST(usage_ledger, is_rejected_with_a_reason_if_it_is_malformed)
{
    for (const std::string value : { "", "[]", "{}", R"({"last_window":1})", R"({"last_window":1,"open":[3]})",
             R"({"last_window":1,"open":[{"window":1,"counts":{"anna":"x"}}]})" }) {
        const auto ledger = parseLedger(value);
        ASSERT_FALSE(ledger) << value;
        EXPECT_FALSE(ledger.error().detail.empty()) << value;
    }
}

} // namespace flamingoroute
