#include "flamingoroute/moves/move_progress.hpp"

#include "flamingoroute/moves/effective_share.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

bool isSameWish(const version_move& left, const version_move& right)
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

configuration withProgress(configuration wanted, const configuration& current)
{
    for (auto& each : wanted.moves) {
        const auto known = std::find_if(current.moves.begin(), current.moves.end(),
            [&](const version_move& move) { return isSameWish(move, each); });
        if (known == current.moves.end())
            continue;
        each.phase = known->phase;
        each.sharePercent = known->sharePercent;
        each.lastSafePercent = known->lastSafePercent;
        each.steppedAtUnixMs = known->steppedAtUnixMs;
        each.reason = known->reason;
        if (isFinished(*known))
            switchService(wanted, *known);
    }
    return wanted;
}

} // namespace flamingoroute
