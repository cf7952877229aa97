#ifndef STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_OPTIONS_HPP
#define STAND_INS_UPSTREAM_STAND_IN_UPSTREAM_OPTIONS_HPP

#include "flamingoroute/model/endpoint.hpp"

#include <string>

namespace flamingoroute::stand_ins {

/// Behaviour of an upstream without faults.
struct upstream_options {
    std::string name;
    std::string version;
    endpoint address;
    int slots = 6; ///< maximum number of concurrent requests; more are shed
    int maxConnections = 330;
    int serviceMs = 5; ///< duration of one request
    int connectMs = 0; ///< delay of the first request on a new connection
    int probeMs = 0; ///< duration of a health probe
    int warmUpRequests = 0; ///< requests are slow until this number has started; 0: none
    int warmUpMs = 0; ///< added to the duration of each of these
};

} // namespace flamingoroute::stand_ins

#endif
