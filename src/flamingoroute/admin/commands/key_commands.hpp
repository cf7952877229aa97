#ifndef FLAMINGOROUTE_ADMIN_COMMANDS_KEY_COMMANDS_HPP
#define FLAMINGOROUTE_ADMIN_COMMANDS_KEY_COMMANDS_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/admin/configuration_access.hpp"
#include "flamingoroute/admin/key_hooks.hpp"

namespace flamingoroute {

/// Adds `key-issue` and `key-withdraw`. Each returns the new revision; `key-issue` also returns the key.
void addKeyCommands(admin_registry& registry, const configuration_access& access, const key_hooks& keys);

} // namespace flamingoroute

#endif
