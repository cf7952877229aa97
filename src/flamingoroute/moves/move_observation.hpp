#ifndef FLAMINGOROUTE_MOVES_MOVE_OBSERVATION_HPP
#define FLAMINGOROUTE_MOVES_MOVE_OBSERVATION_HPP

#include "flamingoroute/moves/route_observation.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// The body of a `move_observation` message.
///
/// From an entry to a leader of the move: its observations, which also confirm the step that it applies. Counts are
/// totals since the step began at this incarnation, so that a lost or duplicated message does no harm.
/// From a leader to the entries, without counts: it confirms the step, or stops the version with `isStopped`.
struct move_observation {
    std::string move;
    std::int64_t startAtUnixMs = 0; ///< distinguishes two moves of the same name
    std::int64_t steppedAtUnixMs = 0; ///< the step that the sender applies
    bool isStopped = false; ///< the new version was found bad, by the sender or by another instance
    std::string reason; ///< if stopped
    std::vector<route_observation> routes; ///< routes with new counts

    bool operator==(const move_observation&) const = default;
    MSGPACK_DEFINE(move, startAtUnixMs, steppedAtUnixMs, isStopped, reason, routes)
};

} // namespace flamingoroute

#endif
