#ifndef FLAMINGOROUTE_PLACEMENT_REGION_SHARES_HPP
#define FLAMINGOROUTE_PLACEMENT_REGION_SHARES_HPP

#include "flamingoroute/model/ids.hpp"

#include <map>

namespace flamingoroute {

/// What a region has of one service, and how much of the service's requests begins there.
struct region_capacity {
    double slots = 0; ///< of upstreams that may get requests
    double demand = 0; ///< part of all requests, 0 to 1

    bool operator==(const region_capacity&) const = default;
};

/// Splits the requests of one region over the regions that run them.
///
/// A region keeps what its own upstreams can run at @p expectedLoad of the whole service's slots, so that it sends
/// across regions no more than it must; the rest goes where room is left. Depends on the list of upstreams only, so
/// that all instances come to the same shares.
/// @param own the region whose requests are split
/// @param expectedLoad part of all slots that is busy when the service is well used, 0 to 1
/// @return for each region a share, 0 to 1; they sum to 1 if any region has slots
std::map<region_id, double> regionShares(
    const std::map<region_id, region_capacity>& capacities, const region_id& own, double expectedLoad);

} // namespace flamingoroute

#endif
