#ifndef FLAMINGOROUTE_ADMIN_COMMANDS_CONFIGURATION_COMMANDS_HPP
#define FLAMINGOROUTE_ADMIN_COMMANDS_CONFIGURATION_COMMANDS_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/admin/configuration_access.hpp"

namespace flamingoroute {

/// Adds `publish`, `change` and `drain`. Each returns the new revision.
void addConfigurationCommands(admin_registry& registry, const configuration_access& access);

} // namespace flamingoroute

#endif
