#ifndef FLAMINGOROUTE_MOVES_MOVE_SETTINGS_HPP
#define FLAMINGOROUTE_MOVES_MOVE_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// How moves are planned, watched and judged.
struct move_settings {
    int firstSharePercent = 1; ///< the first step
    int maxFirstSharePercent = 5; ///< the first step if traffic is small or time short
    int growthFactor = 2; ///< from one step to the next
    int maxGrowthFactor = 4; ///< if time is short
    int samplesPerStep = 100; ///< requests to the new version that a step is expected to need
    milliseconds minDwell { 3000 }; ///< time in a step
    milliseconds stepOverhead { 1500 }; ///< time to publish and confirm a step
    milliseconds publishTime { 4000 }; ///< the decision is taken this long before the deadline
    milliseconds guardTime { 600'000 }; ///< a fault that shows this soon after `done` takes the move back
    milliseconds reachableWithin { 3000 }; ///< an instance heard of within this time is reachable
    milliseconds staleAfter { 5000 }; ///< an unverified share that nobody confirmed for this long falls back
    milliseconds coldTimeAtSmallShare { 20'000 }; ///< slowness is forgiven for this long after a small step
    milliseconds coldTime { 5000 }; ///< slowness is forgiven for this long after any other step
    int smallSharePercent = 10; ///< up to here a step is small

    bool operator==(const move_settings&) const = default;
};

} // namespace flamingoroute

#endif
