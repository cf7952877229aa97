#ifndef FLAMINGOROUTE_MOVES_MOVE_SETTINGS_HPP
#define FLAMINGOROUTE_MOVES_MOVE_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Settings for planning, observing and judging moves.
struct move_settings {
    int firstSharePercent = 1; ///< the first step
    int maxFirstSharePercent = 5; ///< the first step if traffic is low or time is short
    int growthFactor = 2; ///< from one step to the next
    int maxGrowthFactor = 4; ///< if time is short
    int samplesPerStep = 100; ///< requests to the new version that a step is expected to need
    milliseconds minDwell { 3000 }; ///< minimum time in a step
    milliseconds stepOverhead { 1500 }; ///< time to publish and confirm a step
    milliseconds publishTime { 4000 }; ///< the final decision is made this long before the deadline
    milliseconds rollbackWindow { 600'000 }; ///< a fault found within this time after `done` rolls the move back
    milliseconds reachableWithin { 3000 }; ///< an instance that reported within this time is reachable
    milliseconds staleAfter { 5000 }; ///< an unverified share falls back if it is not confirmed for this long
    milliseconds warmUpTimeAtSmallShare { 20'000 }; ///< slowness is ignored for this long after a small step
    milliseconds warmUpTime { 5000 }; ///< slowness is ignored for this long after any other step
    int smallSharePercent = 10; ///< a step up to this share is small

    bool operator==(const move_settings&) const = default;
};

} // namespace flamingoroute

#endif
