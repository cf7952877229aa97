#ifndef FLAMINGOROUTE_MOVES_ROUTE_OBSERVATION_HPP
#define FLAMINGOROUTE_MOVES_ROUTE_OBSERVATION_HPP

#include "flamingoroute/moves/route_counts.hpp"

#include <string>

namespace flamingoroute {

/// Counts of one route in a move_observation.
struct route_observation {
    std::string route;
    route_counts counts;

    bool operator==(const route_observation&) const = default;
    MSGPACK_DEFINE(route, counts)
};

} // namespace flamingoroute

#endif
