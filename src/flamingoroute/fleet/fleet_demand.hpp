#ifndef FLAMINGOROUTE_FLEET_FLEET_DEMAND_HPP
#define FLAMINGOROUTE_FLEET_FLEET_DEMAND_HPP

#include <cstddef>

namespace flamingoroute {

/// The demand for one customer, summed over the regions.
struct fleet_demand {
    std::size_t reachable = 0; ///< instances included
    std::size_t withFullWindow = 0; ///< of them with complete counts
    double perSecond = 0; ///< requests per second
    double admitted = 0; ///< requests in the window before the sums were computed
    double age = 0; ///< seconds since the oldest of the sums was computed

    bool operator==(const fleet_demand&) const = default;
};

} // namespace flamingoroute

#endif
