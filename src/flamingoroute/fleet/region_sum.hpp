#ifndef FLAMINGOROUTE_FLEET_REGION_SUM_HPP
#define FLAMINGOROUTE_FLEET_REGION_SUM_HPP

#include "flamingoroute/fleet/customer_demand.hpp"
#include "flamingoroute/fleet/version_tally.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// What the instances of a region reported, added up.
struct region_sum {
    std::string region;
    std::uint32_t heard = 0; ///< instances
    std::uint32_t settled = 0; ///< of them with whole counts
    std::vector<customer_demand> demand;
    std::vector<version_tally> tallies;
    std::uint32_t ageMs = 0; ///< since it was added up

    bool operator==(const region_sum&) const = default;
    MSGPACK_DEFINE(region, heard, settled, demand, tallies, ageMs)
};

} // namespace flamingoroute

#endif
