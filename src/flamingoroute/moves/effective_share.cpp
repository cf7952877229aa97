#include "flamingoroute/moves/effective_share.hpp"

#include <algorithm>

namespace flamingoroute {

int effectiveShare(const version_move& move, const local_move_view& view)
{
    if (move.phase == move_phase::waiting || move.phase == move_phase::undone)
        return 0;
    if (view.isStopped || move.isRollbackRequested)
        return 0;
    const int share = std::min(move.sharePercent, move.capPercent);
    if (move.phase == move_phase::done)
        return share;
    const bool isVerified = move.lastSafePercent >= move.capPercent;
    if (view.nowUnixMs >= move.finishByUnixMs)
        return isVerified ? share : 0;
    return view.isFresh ? share : std::min(share, move.lastSafePercent);
}

bool isSwitchedOver(const version_move& move)
{
    return move.phase == move_phase::done && std::min(move.sharePercent, move.capPercent) >= 100;
}

bool isFinished(const version_move& move) { return move.phase == move_phase::done || move.phase == move_phase::undone; }

} // namespace flamingoroute
