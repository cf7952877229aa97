#ifndef FLAMINGOROUTE_ADMIN_QUERIES_STATUS_QUERY_HPP
#define FLAMINGOROUTE_ADMIN_QUERIES_STATUS_QUERY_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/admin/status_access.hpp"

namespace flamingoroute {

/// Adds `status`: the active revision of this instance, the lowest revision in each failure domain with the instances
/// that have not confirmed, every instance and its state, and the leases with their holders.
void addStatusQuery(admin_registry& registry, const status_access& access);

} // namespace flamingoroute

#endif
