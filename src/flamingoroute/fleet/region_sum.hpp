#ifndef FLAMINGOROUTE_FLEET_REGION_SUM_HPP
#define FLAMINGOROUTE_FLEET_REGION_SUM_HPP

#include "flamingoroute/fleet/customer_demand.hpp"
#include "flamingoroute/fleet/version_tally.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// The sum of the reports of a region's instances.
struct region_sum {
    std::string region;
    std::uint32_t reachable = 0; ///< number of instances included
    std::uint32_t withFullWindow = 0; ///< of them with complete counts
    std::vector<customer_demand> demand;
    std::vector<version_tally> tallies;
    std::uint32_t ageMs = 0; ///< since it was computed

    bool operator==(const region_sum&) const = default;
    MSGPACK_DEFINE(region, reachable, withFullWindow, demand, tallies, ageMs)
};

} // namespace flamingoroute

#endif
