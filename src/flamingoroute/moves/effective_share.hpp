#ifndef FLAMINGOROUTE_MOVES_EFFECTIVE_SHARE_HPP
#define FLAMINGOROUTE_MOVES_EFFECTIVE_SHARE_HPP

#include "flamingoroute/model/version_move.hpp"

#include <cstdint>

namespace flamingoroute {

/// What an instance knows by itself about a move.
struct local_move_view {
    bool isFresh = true; ///< a leader confirmed the step a short time ago
    bool isStopped = false; ///< the version was seen failing, here or by the move's leader
    std::int64_t nowUnixMs = 0;
};

/// Needs no agreement: the result is never above the published share or the cap.
/// @return the share of the new version that an instance may give, in percent
int effectiveShare(const version_move& move, const local_move_view& view);

/// @return whether the new version takes all traffic of its service for good
bool isSwitchedOver(const version_move& move);

/// @return whether the move has ended
bool isFinished(const version_move& move);

} // namespace flamingoroute

#endif
