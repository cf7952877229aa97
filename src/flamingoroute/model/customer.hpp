#ifndef FLAMINGOROUTE_MODEL_CUSTOMER_HPP
#define FLAMINGOROUTE_MODEL_CUSTOMER_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// An owner of access keys. The requests of all its callers are counted together.
struct customer {
    customer_id name;
    int weight = 1; ///< share of a contended queue

    bool operator==(const customer&) const = default;
};

} // namespace flamingoroute

#endif
