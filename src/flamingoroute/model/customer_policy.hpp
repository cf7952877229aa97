#ifndef FLAMINGOROUTE_MODEL_CUSTOMER_POLICY_HPP
#define FLAMINGOROUTE_MODEL_CUSTOMER_POLICY_HPP

#include "flamingoroute/model/ids.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// Limits and routing that the operator configured for one customer.
struct customer_policy {
    customer_id name;
    std::vector<std::string> keys;
    int rank = -1; ///< 0 is served first; negative: the rule's rank applies
    double ratePerSecond = 0; ///< over the whole fleet; zero: no limit
    double burst = 0; ///< requests beyond the rate
    std::vector<region_id> homeRegions; ///< regions that may serve it; empty: all

    bool operator==(const customer_policy&) const = default;
};

} // namespace flamingoroute

#endif
