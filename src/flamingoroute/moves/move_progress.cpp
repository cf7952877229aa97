#include "flamingoroute/moves/move_progress.hpp"

#include "flamingoroute/moves/effective_share.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

bool isSameMove(const version_move& left, const version_move& right)
{
    return left.name == right.name && left.service == right.service && left.from == right.from && left.to == right.to
        && left.startAtUnixMs == right.startAtUnixMs;
}

void switchService(configuration& target, const version_move& move)
{
    for (auto& each : target.services) {
        if (each.name != move.service)
            continue;
        if (isSwitchedOver(move) && each.currentVersion == move.from)
            each.currentVersion = move.to;
        if (move.phase == move_phase::undone && each.currentVersion == move.to)
            each.currentVersion = move.from;
    }
}

} // namespace

configuration withMove(configuration current, const version_move& next)
{
    for (auto& each : current.moves) {
        if (each.name == next.name)
            each = next;
    }
    switchService(current, next);
    return current;
}

configuration withProgress(configuration requested, const configuration& current)
{
    for (auto& each : requested.moves) {
        const auto existing = std::find_if(current.moves.begin(), current.moves.end(),
            [&](const version_move& move) { return isSameMove(move, each); });
        if (existing == current.moves.end())
            continue;
        each.phase = existing->phase;
        each.sharePercent = existing->sharePercent;
        each.lastSafePercent = existing->lastSafePercent;
        each.steppedAtUnixMs = existing->steppedAtUnixMs;
        each.reason = existing->reason;
        if (isFinished(*existing))
            switchService(requested, *existing);
    }
    return requested;
}

} // namespace flamingoroute
