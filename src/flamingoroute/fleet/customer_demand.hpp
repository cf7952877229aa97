#ifndef FLAMINGOROUTE_FLEET_CUSTOMER_DEMAND_HPP
#define FLAMINGOROUTE_FLEET_CUSTOMER_DEMAND_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// The requests of one customer that reach an instance or a region.
struct customer_demand {
    std::string customer;
    float perSecond = 0; ///< requests, admitted or not
    std::uint32_t admitted = 0; ///< requests in the last window

    bool operator==(const customer_demand&) const = default;
    MSGPACK_DEFINE(customer, perSecond, admitted)
};

} // namespace flamingoroute

#endif
