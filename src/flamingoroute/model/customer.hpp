#ifndef FLAMINGOROUTE_MODEL_CUSTOMER_HPP
#define FLAMINGOROUTE_MODEL_CUSTOMER_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// Someone whose callers present keys and whose requests are counted together.
struct customer {
    customer_id name;
    int weight = 1; ///< share of a contended queue

    bool operator==(const customer&) const = default;
};

} // namespace flamingoroute

#endif
