#ifndef FLAMINGOROUTE_FLEET_DEMAND_HISTORY_HPP
#define FLAMINGOROUTE_FLEET_DEMAND_HISTORY_HPP

#include "flamingoroute/fleet/fleet_report.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <deque>
#include <map>
#include <utility>

namespace flamingoroute {

/// The demand in this instance's recent reports, for as long as the received sums may still include an older report.
/// Pure: no I/O, clocks or threads.
class demand_history {
public:
    void record(const fleet_report& report, monotonic_time now);

    /// @return the minimum demand reported recently, in requests per second; zero if a report did not list the customer
    double minDemandOf(const customer_id& customer) const;

private:
    std::deque<std::pair<monotonic_time, std::map<customer_id, double>>> m_reports; ///< oldest first
};

} // namespace flamingoroute

#endif
