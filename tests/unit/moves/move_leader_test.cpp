#include "flamingoroute/moves/move_leader.hpp"

#include "flamingoroute/moves/move_follower.hpp"
#include "flamingoroute/moves/move_progress.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

constexpr std::int64_t startMs = 1'000'000;
const move_settings settings;
const instance_id first("a");
const instance_id second("b");

configuration runningConfiguration(int sharePercent, int lastSafePercent)
{
    configuration current;
    service mostrador;
    mostrador.name = service_id("mostrador");
    mostrador.currentVersion = version_id("v1");
    current.services.push_back(mostrador);
    version_move move;
    move.name = move_id("to-v2");
    move.service = mostrador.name;
    move.from = version_id("v1");
    move.to = version_id("v2");
    move.startAtUnixMs = startMs;
    move.finishByUnixMs = startMs + 600'000;
    move.phase = move_phase::stepping;
    move.sharePercent = sharePercent;
    move.lastSafePercent = lastSafePercent;
    move.steppedAtUnixMs = startMs + 1;
    current.moves.push_back(move);
    return current;
}

move_observation reportOf(std::uint64_t newAttempts, std::uint64_t newErrors, std::int64_t step = startMs + 1)
{
    move_observation report;
    report.move = "to-v2";
    report.startAtUnixMs = startMs;
    report.steppedAtUnixMs = step;
    route_counts counts;
    counts.newAttempts = newAttempts;
    counts.newErrors = newErrors;
    counts.newTimed = newAttempts - newErrors;
    counts.oldAttempts = 10 * newAttempts;
    report.routes.push_back({ "tickets", counts });
    return report;
}

/// A leader that holds the lease, with a simulated clock.
class leader_fixture {
public:
    explicit leader_fixture(configuration current)
        : m_current(std::move(current))
    {
        m_leader.adopt(m_current, m_now);
    }

    void report(const instance_id& from, const move_observation& what, incarnation number = 1)
    {
        m_leader.recordReport(from, number, what, m_now);
    }

    void advance(milliseconds time) { m_now += time; }

    move_leader::actions tick()
    {
        const auto unixMs = startMs + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
        return m_leader.tick({ m_now, unixMs, { first, second }, [](const move_id&) { return true; } });
    }

private:
    configuration m_current;
    move_leader m_leader { settings };
    monotonic_time m_now { seconds { 1 } };
};

} // namespace

TEST(move_leader, raises_when_both_instances_confirm_and_the_step_is_good)
{
    leader_fixture fixture(runningConfiguration(2, 1));
    fixture.advance(settings.minDwell);
    fixture.report(first, reportOf(100, 0));
    EXPECT_EQ(fixture.tick().publish.at(0).phase, move_phase::holding);
    fixture.report(second, reportOf(100, 0));
    const auto next = fixture.tick().publish.at(0);
    EXPECT_EQ(next.sharePercent, 4);
    EXPECT_EQ(next.lastSafePercent, 2);
}

TEST(move_leader, waits_for_an_instance_that_applies_an_older_step)
{
    leader_fixture fixture(runningConfiguration(2, 1));
    for (int round = 0; round < 30; ++round) {
        fixture.advance(seconds { 1 });
        fixture.report(first, reportOf(200, 0));
        fixture.report(second, reportOf(0, 0, startMs));
        for (const auto& proposal : fixture.tick().publish)
            EXPECT_EQ(proposal.sharePercent, 2) << "after " << round << " s";
    }
}

TEST(move_leader, proceeds_without_an_unreachable_instance_that_has_fallen_back)
{
    leader_fixture fixture(runningConfiguration(2, 1));
    fixture.advance(settings.reachableWithin + settings.staleAfter);
    fixture.report(first, reportOf(200, 0));
    EXPECT_EQ(fixture.tick().publish.at(0).sharePercent, 4);
}

TEST(move_leader, counts_duplicated_and_reordered_reports_once)
{
    leader_fixture fixture(runningConfiguration(2, 1));
    for (int copy = 0; copy < 50; ++copy)
        fixture.report(first, reportOf(20, 2));
    fixture.report(first, reportOf(10, 1));
    const auto actions = fixture.tick();
    EXPECT_TRUE(actions.publish.empty());
    EXPECT_FALSE(actions.notices.at(0).isStopped);
}

TEST(move_leader, ignores_an_older_incarnation)
{
    leader_fixture fixture(runningConfiguration(2, 1));
    fixture.report(first, reportOf(5, 0), 2);
    fixture.report(first, reportOf(50, 45), 1);
    EXPECT_TRUE(fixture.tick().publish.empty());
}

TEST(move_leader, rolls_back_and_notifies_all_when_one_instance_stopped_the_version)
{
    leader_fixture fixture(runningConfiguration(2, 1));
    auto report = reportOf(5, 0);
    report.isStopped = true;
    report.reason = "fails";
    fixture.report(second, report);
    const auto actions = fixture.tick();
    EXPECT_EQ(actions.publish.at(0).phase, move_phase::undone);
    EXPECT_EQ(actions.publish.at(0).reason, "at b: fails");
    EXPECT_TRUE(actions.notices.at(0).isStopped);
}

TEST(move_follower, stops_a_failing_version_locally_and_reports_it)
{
    const auto current = runningConfiguration(10, 5);
    move_follower follower(settings);
    monotonic_time now { seconds { 1 } };
    const move_follower::clock_reading at { now, startMs + 1000 };
    follower.adopt(current, at);
    EXPECT_EQ(follower.splits(at).at(0).percent, 10);
    observed_attempt failed { service_id("mostrador"), "tickets", version_id("v2"), true, microseconds { 100 } };
    int attempts = 0;
    while (!follower.recordAttempt(failed, now) && attempts < 20)
        ++attempts;
    EXPECT_LT(attempts, 10);
    EXPECT_EQ(follower.splits(at).at(0).percent, 0);
    const auto reports = follower.collectDueReports(now);
    EXPECT_TRUE(reports.at(0).isStopped);
}

TEST(move_follower, stops_by_notice_until_the_operator_starts_a_new_move)
{
    auto current = runningConfiguration(10, 5);
    move_follower follower(settings);
    const move_follower::clock_reading at { monotonic_time { seconds { 1 } }, startMs + 1000 };
    follower.adopt(current, at);
    move_observation notice;
    notice.move = "to-v2";
    notice.startAtUnixMs = startMs;
    notice.isStopped = true;
    EXPECT_TRUE(follower.applyNotice(notice, at.now));
    current.moves[0].steppedAtUnixMs += 1;
    follower.adopt(current, at);
    EXPECT_EQ(follower.splits(at).at(0).percent, 0);
    current.moves[0].startAtUnixMs += 1;
    follower.adopt(current, at);
    EXPECT_EQ(follower.splits(at).at(0).percent, 10);
}

TEST(move_follower, falls_back_to_the_safe_share_when_no_leader_confirms_the_step)
{
    const auto current = runningConfiguration(10, 5);
    move_follower follower(settings);
    move_follower::clock_reading at { monotonic_time { seconds { 1 } }, startMs + 1000 };
    follower.adopt(current, at);
    move_observation notice;
    notice.move = "to-v2";
    notice.startAtUnixMs = startMs;
    notice.steppedAtUnixMs = startMs + 1;
    at.now += settings.staleAfter - milliseconds { 1 };
    follower.applyNotice(notice, at.now);
    at.now += settings.staleAfter - milliseconds { 1 };
    EXPECT_EQ(follower.splits(at).at(0).percent, 10);
    notice.steppedAtUnixMs = startMs;
    follower.applyNotice(notice, at.now);
    at.now += milliseconds { 1 };
    EXPECT_EQ(follower.splits(at).at(0).percent, 5);
}

TEST(move_observation, is_equal_after_packing_and_unpacking)
{
    auto report = reportOf(7, 1);
    report.isStopped = true;
    report.reason = "slow";
    const auto unpacked = unpackMessage<move_observation>(packMessage(report));
    ASSERT_TRUE(unpacked);
    EXPECT_EQ(*unpacked, report);
    EXPECT_FALSE(unpackMessage<move_observation>("not msgpack"));
}

TEST(move_progress, switches_the_service_when_done_and_back_when_undone)
{
    const auto current = runningConfiguration(100, 64);
    auto move = current.moves[0];
    move.phase = move_phase::done;
    const auto done = withMove(current, move);
    EXPECT_EQ(done.services[0].currentVersion, version_id("v2"));
    move.phase = move_phase::undone;
    move.sharePercent = 0;
    EXPECT_EQ(withMove(done, move).services[0].currentVersion, version_id("v1"));
}

TEST(move_progress, keeps_the_progress_when_an_operator_publishes_a_changed_cap)
{
    const auto current = runningConfiguration(32, 16);
    auto requested = current;
    requested.moves[0].phase = move_phase::waiting;
    requested.moves[0].sharePercent = 0;
    requested.moves[0].capPercent = 20;
    const auto merged = withProgress(requested, current);
    EXPECT_EQ(merged.moves[0].phase, move_phase::stepping);
    EXPECT_EQ(merged.moves[0].sharePercent, 32);
    EXPECT_EQ(merged.moves[0].capPercent, 20);
}

} // namespace flamingoroute
