#ifndef FLAMINGOROUTE_CONFIG_INTERNAL_OBJECT_NAMES_HPP
#define FLAMINGOROUTE_CONFIG_INTERNAL_OBJECT_NAMES_HPP

#include <string>
#include <vector>

namespace flamingoroute::internal {

/// JSON names of enumerators, in the order of the enumeration.
inline const std::vector<std::string> requestClassNames { "interactive", "bulk" };
inline const std::vector<std::string> unclaimablePolicyNames { "refuse", "run_in_domain" };
inline const std::vector<std::string> movePhaseNames { "waiting", "stepping", "holding", "done", "undone" };

} // namespace flamingoroute::internal

#endif
