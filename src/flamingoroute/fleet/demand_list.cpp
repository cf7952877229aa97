#include "flamingoroute/fleet/demand_list.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

bool isBefore(const customer_demand& left, const customer_demand& right) { return left.customer < right.customer; }

} // namespace

void sortByCustomer(std::vector<customer_demand>& list)
{
    if (!std::is_sorted(list.begin(), list.end(), isBefore))
        std::sort(list.begin(), list.end(), isBefore);
}

const customer_demand* findDemand(const std::vector<customer_demand>& list, const customer_id& customer)
{
    const auto found = std::lower_bound(list.begin(), list.end(), customer.value(),
        [](const customer_demand& entry, const std::string& name) { return entry.customer < name; });
    return found == list.end() || found->customer != customer.value() ? nullptr : &*found;
}

} // namespace flamingoroute
