#ifndef FLAMINGOROUTE_ADMIN_COMMANDS_MOVE_COMMANDS_HPP
#define FLAMINGOROUTE_ADMIN_COMMANDS_MOVE_COMMANDS_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/admin/configuration_access.hpp"

namespace flamingoroute {

/// Adds `move-start` and `move-take-back` (rolls a move back). Each returns the new revision.
void addMoveCommands(admin_registry& registry, const configuration_access& access);

} // namespace flamingoroute

#endif
