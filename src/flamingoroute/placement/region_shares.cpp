#include "flamingoroute/placement/region_shares.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Requests leave a region only beyond this load of its own upstreams, as a share of their slots.
constexpr double maxLocalLoad = 0.85;

double totalSlots(const std::map<region_id, region_capacity>& capacities)
{
    double total = 0;
    for (const auto& [region, capacity] : capacities)
        total += capacity.slots;
    return total;
}

} // namespace

std::map<region_id, double> regionShares(
    const std::map<region_id, region_capacity>& capacities, const region_id& localRegion, double expectedLoad)
{
    std::map<region_id, double> shares;
    const double total = totalSlots(capacities);
    if (total <= 0)
        return shares;
    const double busySlots = expectedLoad * total;
    const auto localCapacity = capacities.find(localRegion);
    const double needed = localCapacity == capacities.end() ? 0 : localCapacity->second.demand * busySlots;
    const double ownSlots = localCapacity == capacities.end() ? 0 : localCapacity->second.slots;
    const double localShare
        = needed <= 0 ? (ownSlots > 0 ? 1.0 : 0.0) : std::min(1.0, maxLocalLoad * ownSlots / needed);
    std::map<region_id, double> spare;
    double totalSpare = 0;
    for (const auto& [region, capacity] : capacities) {
        if (region == localRegion)
            continue;
        spare[region] = std::max(0.0, capacity.slots - capacity.demand * busySlots);
        totalSpare += spare[region];
    }
    if (totalSpare <= 0 && localShare <= 0) {
        for (const auto& [region, capacity] : capacities)
            shares[region] = capacity.slots / total;
        return shares;
    }
    shares[localRegion] = totalSpare > 0 ? localShare : 1.0;
    for (const auto& [region, spareSlots] : spare)
        shares[region] = totalSpare > 0 ? (1 - localShare) * spareSlots / totalSpare : 0;
    return shares;
}

} // namespace flamingoroute
