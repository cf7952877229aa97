#ifndef FLAMINGOROUTE_CONFIG_CONFIGURATION_CHECKER_HPP
#define FLAMINGOROUTE_CONFIG_CONFIGURATION_CHECKER_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/settings/problem.hpp"

namespace flamingoroute {

/// Checks a whole configuration: references, duplicates, ranges, moves, addresses and sizes.
/// @param objects sorted by name
/// @return every problem as "kind/name.field: rule"; empty if the configuration may be published
problem_list check(const configuration& objects);

} // namespace flamingoroute

#endif
