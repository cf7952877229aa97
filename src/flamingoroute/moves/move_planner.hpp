#ifndef FLAMINGOROUTE_MOVES_MOVE_PLANNER_HPP
#define FLAMINGOROUTE_MOVES_MOVE_PLANNER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/moves/move_settings.hpp"

#include <vector>

namespace flamingoroute {

/// The inputs of a plan.
struct plan_input {
    int capPercent = 100;
    milliseconds timeLeft { 0 }; ///< until the deadline
    double requestsPerSecond = 0; ///< of the service, over the fleet
};

/// @return the time that a step at @p sharePercent is expected to take
milliseconds stepTime(int sharePercent, double requestsPerSecond, const move_settings& settings);

/// Plans backwards from the deadline: the last step is the cap, each earlier one a fraction of the next.
/// @return the shares in order; the first is as small as the time allows. Empty if no plan fits.
std::vector<int> planShares(const plan_input& input, const move_settings& settings);

/// @return the first share of a move, in percent
int firstShare(const plan_input& input, const move_settings& settings);

/// @param sharePercent the share that was found good
/// @return the next share: at most move_settings::maxGrowthFactor times @p sharePercent, and at most the cap
int nextShare(int sharePercent, const plan_input& input, const move_settings& settings);

} // namespace flamingoroute

#endif
