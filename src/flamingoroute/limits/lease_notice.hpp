#ifndef FLAMINGOROUTE_LIMITS_LEASE_NOTICE_HPP
#define FLAMINGOROUTE_LIMITS_LEASE_NOTICE_HPP

#include "flamingoroute/limits/holder_ping.hpp"
#include "flamingoroute/limits/pool_lease.hpp"

#include <vector>

namespace flamingoroute {

/// Body of lease_notice: leases for the entry process, pings and promises between control processes.
struct lease_notice {
    std::vector<pool_lease> pools;
    std::vector<holder_ping> pings;

    bool operator==(const lease_notice&) const = default;
    MSGPACK_DEFINE(pools, pings)
};

} // namespace flamingoroute

#endif
