#ifndef FLAMINGOROUTE_MODEL_VERSION_MOVE_HPP
#define FLAMINGOROUTE_MODEL_VERSION_MOVE_HPP

#include "flamingoroute/model/ids.hpp"

#include <string>

namespace flamingoroute {

enum class move_phase {
    waiting,
    stepping,
    holding,
    done,
    undone,
};

/// A shift of a service's traffic from one version to another, and its progress.
/// The operator sets the request (from, to, cap, times); the holder of the move's lease writes the progress.
struct version_move {
    move_id name;
    service_id service;
    version_id from;
    version_id to;
    int capPercent = 100; ///< the new version's share never exceeds this while the move runs
    std::int64_t startAtUnixMs = 0; ///< milliseconds since 1970 UTC
    std::int64_t finishByUnixMs = 0; ///< done or rolled back by then, milliseconds since 1970 UTC
    move_phase phase = move_phase::waiting;
    int sharePercent = 0; ///< the new version's share that is active now
    int lastSafePercent = 0; ///< the highest share that was evaluated as good
    std::int64_t steppedAtUnixMs = 0; ///< when the share last changed
    std::string reason; ///< why it is done or undone, for operators
    bool isRollbackRequested = false; ///< an operator requested a rollback

    bool operator==(const version_move&) const = default;
};

} // namespace flamingoroute

#endif
