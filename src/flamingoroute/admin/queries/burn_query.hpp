#ifndef FLAMINGOROUTE_ADMIN_QUERIES_BURN_QUERY_HPP
#define FLAMINGOROUTE_ADMIN_QUERIES_BURN_QUERY_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/report/burn_report.hpp"

#include <functional>

namespace flamingoroute {

/// Adds `burn`: the service-level burn report as json (default), text or html, selected by `format`.
/// @param report called from many threads at once
void addBurnQuery(admin_registry& registry, std::function<burn_report()> report);

} // namespace flamingoroute

#endif
