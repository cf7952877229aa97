#ifndef FLAMINGOROUTE_PLACEMENT_REGION_SHARES_HPP
#define FLAMINGOROUTE_PLACEMENT_REGION_SHARES_HPP

#include "flamingoroute/model/ids.hpp"

#include <map>

namespace flamingoroute {

/// Capacity of one service in a region, and the share of the service's requests that arrive there.
struct region_capacity {
    double slots = 0; ///< of the upstreams that may receive requests
    double demand = 0; ///< share of all requests, 0 to 1

    bool operator==(const region_capacity&) const = default;
};

/// Splits the requests that arrive in one region over the regions that run them.
///
/// A region keeps the requests that its own upstreams can run while @p expectedLoad of the whole service's slots is
/// busy, to send as few as possible across regions; the rest goes to regions in proportion to their spare slots.
/// Depends only on the arguments, so that instances with the same list of upstreams compute the same shares.
/// @param localRegion the region whose requests are split
/// @param expectedLoad share of all slots that is busy when the service is well utilised, 0 to 1
/// @return the share of each region, 0 to 1; the shares sum to 1 if any region has slots
std::map<region_id, double> regionShares(
    const std::map<region_id, region_capacity>& capacities, const region_id& localRegion, double expectedLoad);

} // namespace flamingoroute

#endif
