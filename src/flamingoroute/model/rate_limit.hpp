#ifndef FLAMINGOROUTE_MODEL_RATE_LIMIT_HPP
#define FLAMINGOROUTE_MODEL_RATE_LIMIT_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// Limit on the requests of a customer that may start, counted over the whole fleet.
struct rate_limit {
    std::string name;
    customer_id customer;
    double perSecond = 1; ///< requests per second
    int burst = 1; ///< requests

    bool operator==(const rate_limit&) const = default;
};

} // namespace flamingoroute

#endif
