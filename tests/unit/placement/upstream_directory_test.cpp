#include "flamingoroute/placement/upstream_directory.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

const upstream_id name("u-1");
const failure_domain_id domain("centro-a");
constexpr milliseconds coldTime { 3000 };
const auto shortHash = static_cast<std::uint32_t>(hash64(name.value()));

monotonic_time at(int ms) { return monotonic_time(milliseconds(100'000 + ms)); }

registered_upstream entryOf(std::uint64_t startedAtMs = 1)
{
    registered_upstream entry;
    entry.name = name;
    entry.startedAtMs = startedAtMs;
    entry.service = service_id("mostrador");
    entry.failureDomain = domain;
    entry.address = { "127.0.0.1", 8000 };
    entry.slots = 6;
    return entry;
}

registered_upstream drainingEntry(std::uint64_t sequence)
{
    auto entry = entryOf();
    entry.sequence = sequence;
    entry.isDraining = true;
    return entry;
}

registered_upstream readyEntry(std::uint64_t sequence)
{
    auto entry = drainingEntry(sequence);
    entry.isDraining = false;
    return entry;
}

upstream_directory directoryWithOne()
{
    upstream_directory directory({ { domain, region_id("guate-centro") } });
    directory.apply(entryOf(), at(0));
    return directory;
}

attempt_report reportOf(attempt_verdict verdict)
{
    attempt_report report;
    report.verdict = verdict;
    return report;
}

} // namespace

TEST(upstream_directory, gives_nothing_to_an_upstream_that_drains_or_whose_domain_is_evacuated)
{
    auto directory = directoryWithOne();
    EXPECT_TRUE(directory.isEligible(*directory.find(name)));
    directory.setEvacuated({ domain }, coldTime, at(10));
    EXPECT_FALSE(directory.isEligible(*directory.find(name)));
    directory.setEvacuated({}, coldTime, at(20));
    EXPECT_TRUE(directory.isEligible(*directory.find(name)));
    EXPECT_EQ(directory.find(name)->coldUntil, at(20) + coldTime);
    auto draining = entryOf();
    draining.isDraining = true;
    directory.apply(draining, at(30));
    EXPECT_FALSE(directory.isEligible(*directory.find(name)));
}

TEST(upstream_directory, resets_the_measured_state_when_an_upstream_restarts_under_the_same_name)
{
    auto directory = directoryWithOne();
    directory.recordSent(name, at(0));
    directory.recordResult(name, reportOf(attempt_verdict::misdirected), coldTime, at(5));
    EXPECT_FALSE(directory.isEligible(*directory.find(name)));
    directory.apply(entryOf(1), at(10));
    EXPECT_FALSE(directory.isEligible(*directory.find(name)));
    directory.apply(entryOf(2), at(20));
    EXPECT_TRUE(directory.isEligible(*directory.find(name)));
}

TEST(upstream_directory, backs_off_from_an_unreachable_upstream_and_counts_it_as_cold_afterwards)
{
    auto directory = directoryWithOne();
    directory.recordSent(name, at(0));
    directory.recordResult(name, reportOf(attempt_verdict::unreachable), coldTime, at(10));
    const auto backOffUntil = directory.find(name)->backOffUntil;
    EXPECT_GT(backOffUntil, at(10));
    EXPECT_EQ(directory.find(name)->coldUntil, backOffUntil + coldTime);
}

TEST(upstream_directory, does_not_back_off_after_one_broken_connection)
{
    auto directory = directoryWithOne();
    directory.recordSent(name, at(0));
    directory.recordResult(name, reportOf(attempt_verdict::broken), coldTime, at(10));
    EXPECT_LE(directory.find(name)->backOffUntil, at(10));
}

TEST(upstream_directory, adds_other_instances_requests_to_its_own_and_decays_an_old_load_report)
{
    auto directory = directoryWithOne();
    directory.recordSent(name, at(0));
    directory.recordSent(name, at(0));
    auto report = reportOf(attempt_verdict::served);
    report.load = reported_load { 4, 2, 6 };
    directory.recordResult(name, report, coldTime, at(10));
    EXPECT_DOUBLE_EQ(estimatedLoad(*directory.find(name), at(10)), 1 + 5);
    EXPECT_LT(estimatedLoad(*directory.find(name), at(2000)), 1.5);
}

TEST(upstream_directory, counts_timed_out_attempts_and_decays_their_effect_within_some_seconds)
{
    auto directory = directoryWithOne();
    auto report = reportOf(attempt_verdict::timed_out);
    report.timeRatio = 10;
    for (int i = 0; i < 5; ++i) {
        directory.recordSent(name, at(0));
        directory.recordResult(name, report, coldTime, at(10 + i));
    }
    EXPECT_GT(currentSlowness(*directory.find(name), at(20)), 5);
    EXPECT_GT(currentFailureShare(*directory.find(name), at(20)), 0.6);
    EXPECT_LT(currentSlowness(*directory.find(name), at(15'000)), 1.3);
    EXPECT_LT(currentFailureShare(*directory.find(name), at(15'000)), 0.05);
}

// An upstream that said that work took three times as long was treated as slow for seconds afterwards.
TEST(upstream_directory, does_not_take_slow_work_that_an_upstream_reported_for_a_lasting_slowness)
{
    auto report = reportOf(attempt_verdict::served);
    report.timeRatio = 3;
    report.load = reported_load { 2, 0, 6, 300 };
    auto directory = directoryWithOne();
    for (int i = 0; i < 10; ++i)
        directory.recordResult(name, report, coldTime, at(i));
    EXPECT_NEAR(currentSlowness(*directory.find(name), at(1500)), 1, 0.05);
}

TEST(upstream_directory, finds_an_upstream_slow_that_takes_longer_than_the_work_time_that_it_reported_explains)
{
    auto report = reportOf(attempt_verdict::served);
    report.timeRatio = 6;
    report.load = reported_load { 2, 0, 6, 200 };
    auto directory = directoryWithOne();
    for (int i = 0; i < 10; ++i)
        directory.recordResult(name, report, coldTime, at(i));
    EXPECT_GT(currentSlowness(*directory.find(name), at(1500)), 1.8);
}

TEST(upstream_directory, expects_more_time_of_an_upstream_that_has_just_reported_slow_work)
{
    auto report = reportOf(attempt_verdict::served);
    report.timeRatio = 1;
    report.load = reported_load { 2, 0, 6, 300 };
    auto directory = directoryWithOne();
    directory.recordResult(name, report, coldTime, at(0));
    EXPECT_NEAR(currentSlowness(*directory.find(name), at(0)), 3, 0.01);
    EXPECT_LT(currentSlowness(*directory.find(name), at(600)), 1.2);
}

TEST(upstream_directory, does_not_prefer_an_upstream_that_reported_fast_work)
{
    auto report = reportOf(attempt_verdict::served);
    report.timeRatio = 1;
    auto directory = directoryWithOne();
    for (const double percent : { 0.0, 40.0 }) {
        report.load = reported_load { 2, 0, 6, percent };
        directory.recordResult(name, report, coldTime, at(0));
        EXPECT_DOUBLE_EQ(currentSlowness(*directory.find(name), at(0)), 1);
    }
}

TEST(upstream_directory, counts_an_upstream_as_faulty_if_it_sheds_with_free_slots_but_not_if_it_is_full)
{
    auto report = reportOf(attempt_verdict::shed);
    report.load = reported_load { 6, 18, 6 };
    auto full = directoryWithOne();
    full.recordResult(name, report, coldTime, at(10));
    EXPECT_DOUBLE_EQ(currentFailureShare(*full.find(name), at(10)), 0);
    report.load = reported_load { 1, 0, 6 };
    auto faulty = directoryWithOne();
    faulty.recordResult(name, report, coldTime, at(10));
    EXPECT_GT(currentFailureShare(*faulty.find(name), at(10)), 0);
}

TEST(upstream_directory, takes_the_load_that_another_instance_was_told_without_the_own_part_of_it)
{
    auto directory = directoryWithOne();
    directory.recordSent(name, at(0));
    directory.recordSent(name, at(300));
    directory.recordFleetLoad(shortHash, 5, at(200));
    EXPECT_DOUBLE_EQ(directory.find(name)->othersLoad, 4);
    EXPECT_DOUBLE_EQ(estimatedLoad(*directory.find(name), at(200)), 6);
    EXPECT_LT(estimatedLoad(*directory.find(name), at(2200)), 2.2);
}

TEST(upstream_directory, ignores_a_load_of_another_instance_that_is_old_doubled_or_of_an_unknown_upstream)
{
    auto directory = directoryWithOne();
    auto report = reportOf(attempt_verdict::served);
    report.load = reported_load { 2, 0, 6 };
    directory.recordResult(name, report, coldTime, at(100));
    directory.recordFleetLoad(shortHash, 9, at(50));
    directory.recordFleetLoad(shortHash, 9, at(100));
    directory.recordFleetLoad(shortHash + 1, 9, at(200));
    EXPECT_DOUBLE_EQ(directory.find(name)->othersLoad, 2);
    directory.remove(upstream_id(name), at(300));
    directory.recordFleetLoad(shortHash, 9, at(400));
    EXPECT_EQ(directory.find(name), nullptr);
}

TEST(upstream_directory, lists_the_upstreams_of_a_service_without_removed_ones)
{
    auto directory = directoryWithOne();
    EXPECT_EQ(directory.ofService(service_id("mostrador")).size(), 1U);
    EXPECT_TRUE(directory.ofService(service_id("bodega")).empty());
    directory.remove(directory.all().begin()->first, at(10));
    EXPECT_TRUE(directory.ofService(service_id("mostrador")).empty());
}

TEST(upstream_directory, gives_nothing_to_a_draining_upstream_whose_earlier_heartbeat_is_written_late)
{
    auto directory = directoryWithOne();
    directory.apply(drainingEntry(9), at(10));
    directory.apply(readyEntry(8), at(20));
    EXPECT_FALSE(directory.isEligible(*directory.find(name)));
}

TEST(upstream_directory, gives_nothing_to_an_upstream_that_drained_and_is_listed_again_by_a_late_heartbeat)
{
    auto directory = directoryWithOne();
    directory.apply(drainingEntry(9), at(10));
    directory.remove(name, at(3000));
    directory.apply(readyEntry(8), at(5000));
    const auto* known = directory.find(name);
    EXPECT_TRUE(known == nullptr || !directory.isEligible(*known));
}

TEST(upstream_directory, gives_nothing_to_an_upstream_that_said_it_is_leaving_after_its_entry_lapsed_and_came_back)
{
    auto directory = directoryWithOne();
    directory.apply(readyEntry(3), at(5));
    EXPECT_TRUE(directory.recordLeaving(name, 1));
    directory.remove(name, at(10));
    directory.apply(readyEntry(7), at(2000));
    const auto* known = directory.find(name);
    EXPECT_TRUE(known == nullptr || !directory.isEligible(*known));
}

TEST(upstream_directory, gives_nothing_by_a_late_heartbeat_of_an_earlier_start_to_an_upstream_that_leaves)
{
    upstream_directory directory({ { domain, region_id("guate-centro") } });
    auto second = drainingEntry(2);
    second.startedAtMs = 5;
    directory.apply(second, at(0));
    directory.apply(readyEntry(40), at(10));
    EXPECT_FALSE(directory.isEligible(*directory.find(name)));
}

TEST(upstream_directory, uses_an_upstream_after_an_odd_entry_named_a_start_far_in_the_future)
{
    auto directory = directoryWithOne();
    auto odd = readyEntry(1);
    odd.startedAtMs = 1ULL << 50U;
    directory.apply(odd, at(10));
    EXPECT_TRUE(directory.apply(readyEntry(2), at(20)));
    EXPECT_EQ(directory.find(name)->registration.startedAtMs, 1U);
}

TEST(upstream_directory, uses_an_upstream_whose_entry_lapsed_and_came_back_by_a_newer_heartbeat)
{
    auto directory = directoryWithOne();
    directory.apply(readyEntry(3), at(5));
    directory.remove(name, at(10));
    directory.apply(readyEntry(4), at(2000));
    ASSERT_NE(directory.find(name), nullptr);
    EXPECT_TRUE(directory.isEligible(*directory.find(name)));
}

TEST(upstream_directory, uses_an_upstream_that_starts_again_after_it_left)
{
    auto directory = directoryWithOne();
    directory.apply(drainingEntry(9), at(10));
    directory.remove(name, at(3000));
    auto restarted = readyEntry(1);
    restarted.startedAtMs = 2;
    directory.apply(restarted, at(4000));
    EXPECT_TRUE(directory.isEligible(*directory.find(name)));
}

TEST(upstream_directory, ignores_that_the_previous_process_of_an_upstream_said_it_was_leaving)
{
    auto directory = directoryWithOne();
    directory.apply(entryOf(2), at(10));
    EXPECT_FALSE(directory.recordLeaving(name, 1));
    EXPECT_TRUE(directory.isEligible(*directory.find(name)));
}

// RECOVER: after a partition an instance went on to back off from upstreams, and to treat them as cold.
TEST(upstream_directory, forgets_failures_that_were_those_of_this_instances_links)
{
    auto directory = directoryWithOne();
    directory.recordResult(name, reportOf(attempt_verdict::unreachable), coldTime, at(10));
    directory.forgetFailuresSince(at(20));
    EXPECT_GT(directory.find(name)->backOffUntil, at(20)) << "an older failure is the upstream's own";
    directory.recordResult(name, reportOf(attempt_verdict::unreachable), coldTime, at(30));
    directory.forgetFailuresSince(at(5));
    EXPECT_LE(directory.find(name)->backOffUntil, at(30));
    EXPECT_LE(directory.find(name)->coldUntil, at(30));
    EXPECT_EQ(currentFailureShare(*directory.find(name), at(30)), 0);
}

} // namespace flamingoroute
