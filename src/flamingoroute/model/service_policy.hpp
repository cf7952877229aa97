#ifndef FLAMINGOROUTE_MODEL_SERVICE_POLICY_HPP
#define FLAMINGOROUTE_MODEL_SERVICE_POLICY_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// Settings of the operator for all upstreams of one service.
struct service_policy {
    service_id name;
    std::string healthPath;
    int connectionLimit = 0; ///< connections that one upstream accepts from the whole fleet
    milliseconds coldTime { 0 }; ///< an upstream is cold for this long after its start
    double coldRate = 0; ///< requests per second that a cold upstream can handle, from the whole fleet; zero: no limit

    bool operator==(const service_policy&) const = default;
};

} // namespace flamingoroute

#endif
