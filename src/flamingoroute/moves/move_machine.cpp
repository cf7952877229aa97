#include "flamingoroute/moves/move_machine.hpp"

#include "flamingoroute/moves/move_planner.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

version_move rolledBack(version_move move, const move_event& event, const std::string& reason)
{
    move.phase = move_phase::undone;
    move.sharePercent = 0;
    move.lastSafePercent = 0;
    move.steppedAtUnixMs = event.nowUnixMs;
    move.reason = reason;
    return move;
}

version_move finished(version_move move, const move_event& event)
{
    move.phase = move_phase::done;
    move.sharePercent = move.capPercent;
    move.lastSafePercent = move.capPercent;
    move.steppedAtUnixMs = event.nowUnixMs;
    move.reason = "reached " + std::to_string(move.capPercent) + "% and judged good";
    return move;
}

version_move stepped(version_move move, int sharePercent, const move_event& event)
{
    move.phase = move_phase::stepping;
    move.sharePercent = sharePercent;
    move.steppedAtUnixMs = event.nowUnixMs;
    move.reason = "at " + std::to_string(sharePercent) + "%";
    return move;
}

plan_input planInput(const version_move& move, const move_event& event)
{
    plan_input input;
    input.capPercent = move.capPercent;
    input.timeLeft = milliseconds(std::max<std::int64_t>(move.finishByUnixMs - event.nowUnixMs, 0));
    input.requestsPerSecond = event.requestsPerSecond;
    return input;
}

bool isDue(const version_move& move, const move_event& event, const move_settings& settings)
{
    return event.nowUnixMs >= move.finishByUnixMs - settings.publishTime.count();
}

version_move atDeadline(const version_move& move, const move_event& event)
{
    if (move.phase == move_phase::waiting)
        return rolledBack(move, event, "deadline reached before the first step");
    const std::string reached = "deadline reached with " + std::to_string(move.lastSafePercent) + "% judged good";
    if (event.verdict.reason.empty())
        return rolledBack(move, event, reached);
    return rolledBack(move, event, reached + ": " + event.verdict.reason);
}

version_move advanceWaiting(const version_move& move, const move_event& event, const move_settings& settings)
{
    if (event.nowUnixMs < move.startAtUnixMs || !event.isStepConfirmed)
        return move;
    return stepped(move, firstShare(planInput(move, event), settings), event);
}

version_move advanceDone(const version_move& move, const move_event& event, const move_settings& settings)
{
    const bool isInRollbackWindow = event.nowUnixMs < move.steppedAtUnixMs + settings.rollbackWindow.count();
    if (isInRollbackWindow && event.verdict.state == verdict_state::bad)
        return rolledBack(move, event, "after completion: " + event.verdict.reason);
    return move;
}

/// The cap was lowered below the active share.
version_move loweredToCap(version_move move, const move_event& event)
{
    move.lastSafePercent = std::min(move.lastSafePercent, move.capPercent);
    return stepped(move, move.capPercent, event);
}

version_move advanceRunning(const version_move& move, const move_event& event, const move_settings& settings)
{
    if (move.sharePercent > move.capPercent)
        return loweredToCap(move, event);
    const bool isVerified = move.lastSafePercent >= move.sharePercent;
    if (!isVerified && event.verdict.state != verdict_state::good)
        return isDue(move, event, settings) ? atDeadline(move, event) : move;
    if (!event.isStepConfirmed) {
        if (isDue(move, event, settings))
            return atDeadline(move, event);
        if (event.nowUnixMs < move.steppedAtUnixMs + settings.minDwell.count())
            return move;
        auto holding = move;
        holding.phase = move_phase::holding;
        holding.lastSafePercent = move.sharePercent;
        holding.reason
            = "holds at " + std::to_string(move.sharePercent) + "% until every reachable instance applies it";
        return holding;
    }
    if (move.sharePercent >= move.capPercent)
        return finished(move, event);
    if (isDue(move, event, settings))
        return atDeadline(move, event);
    auto raised = move;
    raised.lastSafePercent = move.sharePercent;
    return stepped(raised, nextShare(move.sharePercent, planInput(move, event), settings), event);
}

} // namespace

version_move advanceMove(const version_move& move, const move_event& event, const move_settings& settings)
{
    if (move.phase == move_phase::undone)
        return move;
    if (move.isRollbackRequested)
        return rolledBack(move, event, "rolled back by an operator");
    if (move.phase == move_phase::done)
        return advanceDone(move, event, settings);
    if (event.verdict.state == verdict_state::bad)
        return rolledBack(move, event, event.verdict.reason);
    if (move.phase == move_phase::waiting) {
        if (isDue(move, event, settings))
            return atDeadline(move, event);
        return advanceWaiting(move, event, settings);
    }
    return advanceRunning(move, event, settings);
}

} // namespace flamingoroute
