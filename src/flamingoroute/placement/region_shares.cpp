#include "flamingoroute/placement/region_shares.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// A region's own upstreams are filled up to this part before requests leave the region.
constexpr double fullLoad = 0.85;

double totalSlots(const std::map<region_id, region_room>& rooms)
{
    double total = 0;
    for (const auto& [region, room] : rooms)
        total += room.slots;
    return total;
}

} // namespace

std::map<region_id, double> regionShares(
    const std::map<region_id, region_room>& rooms, const region_id& own, double expectedLoad)
{
    std::map<region_id, double> shares;
    const double total = totalSlots(rooms);
    if (total <= 0)
        return shares;
    const double busySlots = expectedLoad * total;
    const auto home = rooms.find(own);
    const double needed = home == rooms.end() ? 0 : home->second.demand * busySlots;
    const double ownSlots = home == rooms.end() ? 0 : home->second.slots;
    const double kept = needed <= 0 ? (ownSlots > 0 ? 1.0 : 0.0) : std::min(1.0, fullLoad * ownSlots / needed);
    std::map<region_id, double> spare;
    double spareSum = 0;
    for (const auto& [region, room] : rooms) {
        if (region == own)
            continue;
        spare[region] = std::max(0.0, room.slots - room.demand * busySlots);
        spareSum += spare[region];
    }
    if (spareSum <= 0 && kept <= 0) {
        for (const auto& [region, room] : rooms)
            shares[region] = room.slots / total;
        return shares;
    }
    shares[own] = spareSum > 0 ? kept : 1.0;
    for (const auto& [region, room] : spare)
        shares[region] = spareSum > 0 ? (1 - kept) * room / spareSum : 0;
    return shares;
}

} // namespace flamingoroute
