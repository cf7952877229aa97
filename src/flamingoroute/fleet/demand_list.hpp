#ifndef FLAMINGOROUTE_FLEET_DEMAND_LIST_HPP
#define FLAMINGOROUTE_FLEET_DEMAND_LIST_HPP

#include "flamingoroute/fleet/customer_demand.hpp"
#include "flamingoroute/model/ids.hpp"

#include <vector>

namespace flamingoroute {

/// Sorts a received list, so that each request can find its customer without going through all of them. Instances send
/// sorted lists, so this is usually one pass.
void sortByCustomer(std::vector<customer_demand>& list);

/// @param list sorted by customer
/// @return the entry of @p customer, or null
const customer_demand* findDemand(const std::vector<customer_demand>& list, const customer_id& customer);

} // namespace flamingoroute

#endif
