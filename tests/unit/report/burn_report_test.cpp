#include "flamingoroute/report/burn_report.hpp"

#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/latency_histogram.hpp"
#include "flamingoroute/report/metrics_text.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

const service_id shop("shop");
const monotonic_time start { seconds { 1000 } };

configuration withObjective()
{
    configuration current;
    service_objective objective;
    objective.service = shop;
    objective.latency = milliseconds { 100 };
    objective.goodShare = 0.9;
    current.objectives.push_back(objective);
    return current;
}

request_record answered(const std::string& customer, milliseconds total)
{
    request_record record;
    record.service = shop;
    record.customer = customer_id(customer);
    record.status = 200;
    record.execution = execution_state::ran;
    record.total = total;
    return record;
}

request_record refusedFor(const std::string& customer, refusal_reason reason)
{
    auto record = answered(customer, milliseconds { 1 });
    record.status = 503;
    record.execution = execution_state::not_run;
    record.refused = reason;
    record.isOverRate = reason == refusal_reason::over_rate;
    return record;
}

/// Ten requests within the rate for each customer: "ronda" has five late ones, "xela" one refused; another one of
/// "xela" is refused above its rate.
burn_usage usageOfTwoCustomers()
{
    const auto current = withObjective();
    objective_tracker tracker(start);
    for (int number = 0; number < 10; ++number)
        tracker.recordRequest(answered("ronda", milliseconds { number < 5 ? 200 : 10 }), current, start);
    for (int number = 0; number < 9; ++number)
        tracker.recordRequest(answered("xela", milliseconds { 10 }), current, start);
    tracker.recordRequest(refusedFor("xela", refusal_reason::no_capacity), current, start);
    tracker.recordRequest(refusedFor("xela", refusal_reason::over_rate), current, start);
    return collectBurnUsage(tracker, failure_domain_id("d1"), start + seconds { 60 });
}

} // namespace

TEST(burn_report, lists_the_customer_with_the_least_budget_left_first)
{
    const auto report = makeBurnReport(withObjective(), { { instance_id("a"), usageOfTwoCustomers() } }, {});
    ASSERT_EQ(report.lines.size(), 2u);
    EXPECT_EQ(report.lines[0].customer, customer_id("ronda"));
    EXPECT_NEAR(report.lines[0].burn[0], 5, 1e-9);
    EXPECT_NEAR(report.lines[1].burn[0], 1, 1e-9);
    EXPECT_NEAR(report.lines[1].budgetLeft, 0, 1e-9);
}

TEST(burn_report, ignores_requests_above_the_customers_rate)
{
    const auto usage = usageOfTwoCustomers();
    EXPECT_EQ(usage.lines.at(1).windows.at(0).requests, 10u);
    EXPECT_EQ(usage.lines.at(1).windows.at(0).refused, 1u);
}

TEST(burn_report, adds_up_instances_and_lists_missing_domains)
{
    const auto usage = usageOfTwoCustomers();
    const std::map<instance_id, failure_domain_id> expectedInstances { { instance_id("a"), failure_domain_id("d1") },
        { instance_id("b"), failure_domain_id("d1") }, { instance_id("c"), failure_domain_id("d2") },
        { instance_id("e"), failure_domain_id("d1") } };
    const auto report = makeBurnReport(
        withObjective(), { { instance_id("a"), usage }, { instance_id("b"), usage } }, expectedInstances);
    EXPECT_EQ(report.lines[0].counts[0].requests, 20u);
    EXPECT_EQ(report.missingInstances, (std::vector<instance_id> { instance_id("c"), instance_id("e") }));
    EXPECT_EQ(report.missingDomains, std::vector<failure_domain_id> { failure_domain_id("d2") });
    EXPECT_EQ(report.covered[3], seconds { 60 });
    const auto text = burnAsText(report);
    EXPECT_NE(text.find("covers 60 s only"), std::string::npos) << text;
    EXPECT_NE(text.find("d2"), std::string::npos) << text;
}

TEST(burn_report, drops_requests_older_than_the_window)
{
    const auto current = withObjective();
    objective_tracker tracker(start);
    tracker.recordRequest(answered("ronda", milliseconds { 200 }), current, start);
    const objective_tracker::service_customer ronda { shop, customer_id("ronda") };
    EXPECT_EQ(tracker.counts(ronda, 0, start + seconds { 290 }).late, 1u);
    EXPECT_EQ(tracker.counts(ronda, 0, start + seconds { 310 }).late, 0u);
    EXPECT_EQ(tracker.counts(ronda, 1, start + seconds { 310 }).late, 1u);
}

TEST(burn_report, escapes_names_in_the_page)
{
    burn_report report;
    burn_line line;
    line.customer = customer_id("<script>");
    line.burn = { 2, 1, 0.5, 0.1 };
    line.counts.resize(burnWindowCount);
    report.lines.push_back(line);
    const auto page = burnAsHtml(report);
    EXPECT_EQ(page.find("<script>"), std::string::npos);
    EXPECT_NE(page.find("<svg"), std::string::npos);
}

TEST(burn_usage, is_equal_after_packing_and_unpacking)
{
    const auto usage = usageOfTwoCustomers();
    const auto unpacked = unpackMessage<burn_usage>(packMessage(usage));
    ASSERT_TRUE(unpacked);
    EXPECT_EQ(*unpacked, usage);
}

TEST(latency_histogram, merged_parts_equal_a_single_histogram_also_after_packing)
{
    latency_histogram all;
    latency_histogram parts[2];
    for (int number = 1; number <= 1000; ++number) {
        const milliseconds latency { number };
        all.add(latency);
        parts[number % 2].add(latency);
    }
    parts[0].add(parts[1]);
    EXPECT_EQ(parts[0], all);
    const double median = static_cast<double>(all.quantile(0.5).count());
    EXPECT_GE(median, 500'000);
    EXPECT_LE(median, 500'000 * 1.11);
    const auto unpacked = unpackMessage<latency_histogram>(packMessage(all));
    ASSERT_TRUE(unpacked);
    EXPECT_EQ(*unpacked, all);
    EXPECT_FALSE(unpackMessage<latency_histogram>(packMessage(std::vector<std::uint64_t> { 1, 2, 9999, 1 })));
}

TEST(metrics_text, writes_counters_and_histograms_with_escaped_labels)
{
    metrics_text metrics;
    metrics.counter("flamingo_requests_total", "Requests.", { { "customer", "a\"b" } }, 7);
    latency_histogram latencies;
    latencies.add(milliseconds { 10 });
    metrics.histogram("flamingo_latency_seconds", "Latency.", {}, latencies);
    const auto& text = metrics.text();
    EXPECT_NE(text.find("# TYPE flamingo_requests_total counter"), std::string::npos);
    EXPECT_NE(text.find("flamingo_requests_total{customer=\"a\\\"b\"} 7\n"), std::string::npos) << text;
    EXPECT_NE(text.find("flamingo_latency_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos) << text;
    EXPECT_NE(text.find("flamingo_latency_seconds_count 1\n"), std::string::npos) << text;
}

} // namespace flamingoroute
