#ifndef FLAMINGOROUTE_RUNTIME_SMALL_FLEET_HPP
#define FLAMINGOROUTE_RUNTIME_SMALL_FLEET_HPP

#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/settings/instance_settings.hpp"

#include <cstddef>

namespace flamingoroute {

/// Up to so many instances everyone may tell everyone; above that only those of a failure domain.
inline constexpr std::size_t smallFleetInstances = 32;

/// @return the settings of rates: in a small fleet every instance keeps a floor for every customer, so that a failure
/// domain that is cut off serves customers whose first request comes only then
inline limit_settings limitSettingsFor(const instance_settings& settings)
{
    limit_settings result;
    result.isStandingBy = settings.peers.size() < smallFleetInstances;
    return result;
}

} // namespace flamingoroute

#endif
