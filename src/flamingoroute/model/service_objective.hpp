#ifndef FLAMINGOROUTE_MODEL_SERVICE_OBJECTIVE_HPP
#define FLAMINGOROUTE_MODEL_SERVICE_OBJECTIVE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// Latency objective of a service for one customer or all customers.
struct service_objective {
    std::string name;
    service_id service;
    customer_id customer; ///< empty: every customer
    milliseconds latency { 100 }; ///< an answer within this time is good
    double goodShare = 0.99; ///< the share of requests that must be good, below 1

    bool operator==(const service_objective&) const = default;
};

} // namespace flamingoroute

#endif
