#ifndef FLAMINGOROUTE_ADMIN_QUERIES_CONFIGURATION_QUERIES_HPP
#define FLAMINGOROUTE_ADMIN_QUERIES_CONFIGURATION_QUERIES_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/admin/configuration_access.hpp"

namespace flamingoroute {

/// Adds `configuration` (the complete active set of this instance), `objects` (kind, optionally name) and `trace` (how
/// a request would be routed: method, target).
void addConfigurationQueries(admin_registry& registry, const configuration_access& access);

} // namespace flamingoroute

#endif
