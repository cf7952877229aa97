#ifndef FLAMINGOROUTE_MOVES_MOVE_MACHINE_HPP
#define FLAMINGOROUTE_MOVES_MOVE_MACHINE_HPP

#include "flamingoroute/model/version_move.hpp"
#include "flamingoroute/moves/move_settings.hpp"
#include "flamingoroute/moves/version_verdict.hpp"

#include <cstdint>

namespace flamingoroute {

/// The inputs of the lease holder for one decision.
struct move_event {
    std::int64_t nowUnixMs = 0;
    version_verdict verdict; ///< on the active step
    bool isStepConfirmed = false; ///< every reachable instance applies the step; the others use a safe share
    double requestsPerSecond = 0; ///< of the service, over the fleet
};

/// Computes the next state of a move. Depends on the arguments only, so that any instance can continue a move that
/// another one began.
/// @param move as published
/// @return the move to publish; equal to @p move if there is nothing to do
version_move advanceMove(const version_move& move, const move_event& event, const move_settings& settings);

} // namespace flamingoroute

#endif
