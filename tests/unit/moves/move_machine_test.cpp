#include "flamingoroute/moves/move_machine.hpp"

#include "flamingoroute/moves/effective_share.hpp"

#include <gtest/gtest.h>

#include <random>

namespace flamingoroute {

namespace {

constexpr std::int64_t startMs = 1'000'000;
constexpr std::int64_t deadlineMs = startMs + 300'000;

version_move moveWithCap(int capPercent)
{
    version_move move;
    move.name = move_id("to-v2");
    move.service = service_id("mostrador");
    move.from = version_id("v1");
    move.to = version_id("v2");
    move.capPercent = capPercent;
    move.startAtUnixMs = startMs;
    move.finishByUnixMs = deadlineMs;
    return move;
}

version_move runningAt(int sharePercent, int lastSafePercent, int capPercent = 100)
{
    auto move = moveWithCap(capPercent);
    move.phase = move_phase::stepping;
    move.sharePercent = sharePercent;
    move.lastSafePercent = lastSafePercent;
    move.steppedAtUnixMs = startMs + 1;
    return move;
}

move_event eventAt(std::int64_t nowUnixMs, verdict_state verdict, bool isConfirmed = true)
{
    move_event event;
    event.nowUnixMs = nowUnixMs;
    event.verdict = { verdict, "seen" };
    event.isStepConfirmed = isConfirmed;
    event.requestsPerSecond = 100;
    return event;
}

const move_settings settings;

} // namespace

TEST(move_machine, waits_for_its_start_and_for_confirmation)
{
    const auto waiting = moveWithCap(100);
    EXPECT_EQ(advanceMove(waiting, eventAt(startMs - 1, verdict_state::undecided), settings), waiting);
    EXPECT_EQ(advanceMove(waiting, eventAt(startMs, verdict_state::undecided, false), settings), waiting);
    const auto next = advanceMove(waiting, eventAt(startMs, verdict_state::undecided), settings);
    EXPECT_EQ(next.phase, move_phase::stepping);
    EXPECT_EQ(next.sharePercent, settings.firstSharePercent);
    EXPECT_EQ(next.lastSafePercent, 0);
}

TEST(move_machine, raises_a_step_only_when_it_is_good_and_confirmed)
{
    const auto move = runningAt(4, 2);
    EXPECT_EQ(advanceMove(move, eventAt(startMs + 9000, verdict_state::undecided), settings), move);
    const auto holding = advanceMove(move, eventAt(startMs + 9000, verdict_state::good, false), settings);
    EXPECT_EQ(holding.phase, move_phase::holding);
    EXPECT_EQ(holding.sharePercent, 4);
    EXPECT_EQ(holding.lastSafePercent, 4);
    const auto raised = advanceMove(holding, eventAt(startMs + 9500, verdict_state::undecided), settings);
    EXPECT_EQ(raised.phase, move_phase::stepping);
    EXPECT_EQ(raised.sharePercent, 8);
    EXPECT_EQ(raised.lastSafePercent, 4);
}

TEST(move_machine, is_done_when_the_cap_is_judged_good)
{
    const auto next = advanceMove(runningAt(100, 64), eventAt(startMs + 9000, verdict_state::good), settings);
    EXPECT_EQ(next.phase, move_phase::done);
    EXPECT_TRUE(isSwitchedOver(next));
    const auto capped = advanceMove(runningAt(20, 16, 20), eventAt(startMs + 9000, verdict_state::good), settings);
    EXPECT_EQ(capped.phase, move_phase::done);
    EXPECT_EQ(capped.sharePercent, 20);
    EXPECT_FALSE(isSwitchedOver(capped));
}

TEST(move_machine, is_undone_by_a_bad_verdict_in_each_phase_before_the_guard_ends)
{
    for (const auto phase : { move_phase::waiting, move_phase::stepping, move_phase::holding, move_phase::done }) {
        auto move = runningAt(8, 4);
        move.phase = phase;
        const auto next = advanceMove(move, eventAt(startMs + 9000, verdict_state::bad), settings);
        EXPECT_EQ(next.phase, move_phase::undone);
        EXPECT_EQ(next.sharePercent, 0);
        EXPECT_NE(next.reason.find("seen"), std::string::npos);
    }
    auto late = runningAt(100, 100);
    late.phase = move_phase::done;
    const auto afterRollbackWindow = late.steppedAtUnixMs + settings.rollbackWindow.count();
    EXPECT_EQ(advanceMove(late, eventAt(afterRollbackWindow, verdict_state::bad), settings), late);
}

TEST(move_machine, is_undone_by_an_operator_even_after_it_is_done)
{
    auto move = runningAt(100, 100);
    move.phase = move_phase::done;
    move.isRollbackRequested = true;
    const auto next = advanceMove(move, eventAt(deadlineMs, verdict_state::undecided), settings);
    EXPECT_EQ(next.phase, move_phase::undone);
    EXPECT_EQ(next.reason, "rolled back by an operator");
}

TEST(move_machine, lowers_the_share_at_once_when_the_cap_is_lowered)
{
    auto move = runningAt(32, 16, 10);
    EXPECT_EQ(effectiveShare(move, { true, false, startMs }), 10);
    move = advanceMove(move, eventAt(startMs + 9000, verdict_state::undecided, false), settings);
    EXPECT_EQ(move.sharePercent, 10);
    EXPECT_EQ(move.lastSafePercent, 10);
    move = advanceMove(move, eventAt(startMs + 9000, verdict_state::undecided), settings);
    EXPECT_EQ(move.phase, move_phase::done);
}

TEST(move_machine, is_always_finished_at_the_deadline)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 5000; ++round) {
        const int cap = 1 + static_cast<int>(random() % 100);
        auto move = runningAt(static_cast<int>(random() % 101), static_cast<int>(random() % 101), cap);
        move.lastSafePercent = std::min(move.lastSafePercent, move.sharePercent);
        move.phase = static_cast<move_phase>(random() % 3);
        const auto verdict = static_cast<verdict_state>(random() % 3);
        auto event = eventAt(deadlineMs, verdict, random() % 2 == 0);
        for (int step = 0; step < 3; ++step)
            move = advanceMove(move, event, settings);
        EXPECT_TRUE(isFinished(move)) << "round " << round;
    }
}

TEST(move_machine, never_raises_above_the_cap_or_by_more_than_the_max_growth_factor)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        auto move = moveWithCap(1 + static_cast<int>(random() % 100));
        for (std::int64_t now = startMs; now < deadlineMs + 10'000; now += 500 + static_cast<int>(random() % 4000)) {
            if (random() % 20 == 0)
                move.capPercent = 1 + static_cast<int>(random() % move.capPercent);
            const auto verdict = random() % 3 == 0 ? verdict_state::good : verdict_state::undecided;
            const auto next = advanceMove(move, eventAt(now, verdict, random() % 2 == 0), settings);
            const int maxShare = std::max(settings.maxFirstSharePercent, move.sharePercent * settings.maxGrowthFactor);
            ASSERT_LE(next.sharePercent, std::max(maxShare, 1)) << "seed " << seed;
            if (next != move) {
                ASSERT_LE(next.sharePercent, move.capPercent) << "seed " << seed;
            }
            ASSERT_LE(next.lastSafePercent, next.sharePercent) << "seed " << seed;
            move = next;
        }
        EXPECT_TRUE(isFinished(move)) << "seed " << seed;
    }
}

TEST(effective_share, falls_back_to_the_last_safe_step_without_a_confirmation)
{
    const auto move = runningAt(8, 4);
    EXPECT_EQ(effectiveShare(move, { true, false, startMs }), 8);
    EXPECT_EQ(effectiveShare(move, { false, false, startMs }), 4);
    EXPECT_EQ(effectiveShare(move, { true, true, startMs }), 0);
}

TEST(effective_share, is_zero_after_the_deadline_without_a_verdict)
{
    EXPECT_EQ(effectiveShare(runningAt(8, 4), { true, false, deadlineMs }), 0);
    EXPECT_EQ(effectiveShare(runningAt(100, 64), { false, false, deadlineMs }), 0);
    auto done = runningAt(100, 100);
    done.phase = move_phase::done;
    EXPECT_EQ(effectiveShare(done, { false, false, deadlineMs + 1 }), 100);
}

} // namespace flamingoroute
