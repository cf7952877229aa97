#ifndef FLAMINGOROUTE_FLEET_DEMAND_HISTORY_HPP
#define FLAMINGOROUTE_FLEET_DEMAND_HISTORY_HPP

#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <deque>
#include <map>
#include <utility>

namespace flamingoroute {

/// What an instance reported of its customers' demand while older reports still stand in the sums that come back. Pure.
class demand_history {
public:
    void note(const fleet_report& report, monotonic_time now);

    /// @return the least demand reported lately, in requests a second; zero if a report did not name the customer
    double leastOf(const customer_id& customer) const;

private:
    std::deque<std::pair<monotonic_time, std::map<customer_id, double>>> m_reports; ///< the oldest first
};

} // namespace flamingoroute

#endif
