#ifndef FLAMINGOROUTE_MOVES_EFFECTIVE_SHARE_HPP
#define FLAMINGOROUTE_MOVES_EFFECTIVE_SHARE_HPP

#include "flamingoroute/model/version_move.hpp"

#include <cstdint>

namespace flamingoroute {

/// The local state of an instance for one move.
struct local_move_view {
    bool isFresh = true; ///< the step was adopted or confirmed by a leader within move_settings::staleAfter
    bool isStopped = false; ///< the version was found failing, here or by the move's leader
    std::int64_t nowUnixMs = 0;
};

/// Needs no coordination: the result is never above the published share or the cap.
/// @return the share of traffic that an instance may send to the new version, in percent
int effectiveShare(const version_move& move, const local_move_view& view);

/// @return whether the move is done and the new version takes all traffic of its service
bool isSwitchedOver(const version_move& move);

/// @return whether the move is done or undone
bool isFinished(const version_move& move);

} // namespace flamingoroute

#endif
