#include "flamingoroute/duties/usage_reporter.hpp"

#include "fake_object.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

constexpr microseconds windowLength { 5'000'000 };
constexpr milliseconds lateAfter { 10'000 };
constexpr milliseconds pollInterval { 100 };

/// The platform as it judges reports.
struct fake_platform {
    std::map<window_index, customer_counts> accepted;
    bool isLosingAnswers = false;
    bool isBusy = false;
    bool hasContradiction = false;

    tl::expected<void, error> receive(const window_report& report)
    {
        if (isBusy)
            return tl::unexpected(error { error_code::unavailable, "fake", "", "status 429" });
        const auto [known, isNew] = accepted.try_emplace(report.window, report.requests);
        hasContradiction = hasContradiction || known->second != report.requests;
        if (isLosingAnswers)
            return tl::unexpected(error { error_code::outcome_unknown, "fake", "", "" });
        return {};
    }
};

/// A candidate for the reports with counts of its own.
struct fake_holder {
    fake_holder(fake_object& ledger, fake_platform& platform)
        : reporter(usage_schedule(lateAfter), microseconds(300'000), hooksFor(ledger, platform))
    {
    }

    usage_reporter::hooks hooksFor(fake_object& ledger, fake_platform& platform)
    {
        usage_reporter::hooks hooks;
        hooks.ledger = ledger.access();
        hooks.token = [this] { return token; };
        hooks.send = [&platform](const window_report& report, auto done) { done(platform.receive(report)); };
        hooks.total = [this](window_index window) {
            usage_counts counts;
            counts.window = window;
            counts.requests = { { "anna", requests } };
            return counts;
        };
        hooks.fleetSize = [] { return std::size_t { 1 }; };
        hooks.oldestWindow = [] { return std::optional<window_index>(200); };
        hooks.windowAt = [](monotonic_time time) { return time.time_since_epoch() / windowLength; };
        hooks.sinceEnd = [](window_index window, monotonic_time time) {
            return time.time_since_epoch() - (window + 1) * windowLength;
        };
        return hooks;
    }

    object_version token = 0;
    std::uint64_t requests = 10;
    usage_reporter reporter;
};

class usage_reporter_test : public ::testing::Test {
protected:
    void run(milliseconds time)
    {
        for (milliseconds passed { 0 }; passed < time; passed += pollInterval) {
            m_now += pollInterval;
            m_first.reporter.poll(m_now);
            m_second.reporter.poll(m_now);
        }
        EXPECT_FALSE(m_platform.hasContradiction);
    }

    monotonic_time m_now { seconds(1000) }; ///< window 200 begins
    fake_object m_ledger;
    fake_platform m_platform;
    fake_holder m_first { m_ledger, m_platform };
    fake_holder m_second { m_ledger, m_platform };
};

} // namespace

TEST_F(usage_reporter_test, reports_each_window_once_while_it_holds_the_duty)
{
    m_first.token = 7;
    run(seconds(29));
    EXPECT_EQ(m_platform.accepted.size(), 5U);
    EXPECT_EQ(m_first.reporter.tally(), (usage_tally { 5, 5, 5, 0 }));
    EXPECT_EQ(m_second.reporter.tally(), usage_tally {});
}

TEST_F(usage_reporter_test, repeats_a_report_exactly_after_its_answer_was_lost)
{
    m_first.token = 7;
    m_platform.isLosingAnswers = true;
    run(seconds(9));
    m_first.requests = 99;
    m_platform.isLosingAnswers = false;
    run(seconds(2));
    EXPECT_EQ(m_platform.accepted.at(200).at("anna"), 10U);
    EXPECT_EQ(m_first.reporter.tally().confirmed, 1U);
}

TEST_F(usage_reporter_test, leaves_the_next_holder_what_was_recorded_and_not_confirmed)
{
    m_first.token = 7;
    m_platform.isBusy = true;
    run(seconds(9));
    m_first.token = 0;
    m_second.token = 8;
    m_second.requests = 99;
    m_platform.isBusy = false;
    run(seconds(3));
    EXPECT_EQ(m_platform.accepted.at(200).at("anna"), 10U);
}

TEST_F(usage_reporter_test, keeps_counts_that_a_late_write_of_a_former_holder_fixed)
{
    m_first.token = 7;
    m_ledger.isHoldingWrites = true;
    run(seconds(8));
    m_first.token = 0;
    m_second.token = 8;
    m_second.requests = 99;
    run(milliseconds(200));
    m_ledger.releaseHeldWrites();
    run(seconds(5));
    EXPECT_EQ(m_platform.accepted.at(200).at("anna"), 10U);
}

// A restored store's ledger lacked windows that had been reported, and they were recorded once more with other counts.
TEST_F(usage_reporter_test, reports_no_window_again_that_a_restored_store_has_forgotten)
{
    m_first.token = 7;
    run(seconds(9));
    const auto copy = m_ledger.value;
    run(seconds(5));
    ASSERT_EQ(m_platform.accepted.size(), 2U);
    m_ledger.value = copy;
    ++m_ledger.version;
    m_first.token = 8;
    m_first.requests = 99;
    run(seconds(5));
    EXPECT_EQ(m_platform.accepted.size(), 3U);
    EXPECT_EQ(m_platform.accepted.at(201).at("anna"), 10U);
}

TEST_F(usage_reporter_test, reports_in_time_after_the_store_was_down_over_the_end_of_a_window)
{
    m_first.token = 7;
    run(seconds(4));
    m_ledger.isDown = true;
    run(seconds(9));
    m_ledger.isDown = false;
    run(seconds(4));
    EXPECT_TRUE(m_platform.accepted.contains(200));
    EXPECT_EQ(m_first.reporter.tally().missed, 0U);
}

TEST_F(usage_reporter_test, reports_no_window_again_that_a_malformed_ledger_may_have_contained)
{
    m_ledger.value = R"({"last_window":"x","open":[]})";
    m_ledger.version = 50;
    m_first.token = 7;
    m_now = monotonic_time(seconds(1008));
    run(seconds(12));
    EXPECT_FALSE(m_platform.accepted.contains(200));
    EXPECT_TRUE(m_platform.accepted.contains(201));
}

TEST_F(usage_reporter_test, counts_a_window_as_missed_that_the_platform_did_not_accept_in_time)
{
    m_first.token = 7;
    m_platform.isBusy = true;
    run(seconds(16));
    m_platform.isBusy = false;
    run(seconds(1));
    EXPECT_FALSE(m_platform.accepted.contains(200));
    EXPECT_EQ(m_first.reporter.tally().missed, 1U);
}

} // namespace flamingoroute
