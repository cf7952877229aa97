#ifndef FLAMINGOROUTE_RUNTIME_INCARNATION_CLOCK_HPP
#define FLAMINGOROUTE_RUNTIME_INCARNATION_CLOCK_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// @return the incarnation for a process that starts now: microseconds since 1970, so that it increases with each start
/// even on machines without persistent storage
incarnation newIncarnation();

} // namespace flamingoroute

#endif
