#ifndef STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_OPTIONS_HPP
#define STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_OPTIONS_HPP

#include "flamingoroute/model/endpoint.hpp"

#include <string>

namespace flamingoroute::stand_ins {

/// What an upstream is like when nothing is wrong.
struct upstream_options {
    std::string name;
    std::string version;
    endpoint address;
    int slots = 6; ///< requests it runs at one time; more are shed
    int maxConnections = 330;
    int serviceMs = 5; ///< time that one request takes
    int connectMs = 0; ///< time that a new connection takes
    int probeMs = 0; ///< time that a health probe takes
    int coldRequests = 0; ///< the first requests are slow
    int coldMs = 0; ///< added to each of them
};

} // namespace flamingoroute::stand_ins

#endif
