#ifndef FLAMINGOROUTE_RUNTIME_SMALL_FLEET_HPP
#define FLAMINGOROUTE_RUNTIME_SMALL_FLEET_HPP

#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <cstddef>

namespace flamingoroute {

/// Maximum number of instances in a small fleet. There every instance may send to every other one; in a larger fleet
/// only within its failure domain.
inline constexpr std::size_t smallFleetInstances = 32;

/// @return the rate settings: in a small fleet every instance holds a floor for every customer, so that an isolated
/// failure domain also serves customers whose first request arrives during the isolation
inline limit_settings limitSettingsFor(const instance_settings& settings)
{
    limit_settings result;
    result.keepsFloorWithoutDemand = settings.peers.size() < smallFleetInstances;
    return result;
}

} // namespace flamingoroute

#endif
