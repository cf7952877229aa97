#include "flamingoroute/fleet/demand_history.hpp"

#include <algorithm>
#include <limits>

namespace flamingoroute {

namespace {

/// Time until the received sums include a report of this instance: one report interval and one digest interval.
constexpr microseconds sumDelay { 1'200'000 };

} // namespace

void demand_history::record(const fleet_report& report, monotonic_time now)
{
    std::map<customer_id, double> demands;
    for (const auto& demand : report.demand)
        demands[customer_id(demand.customer)] = demand.perSecond;
    m_reports.emplace_back(now, std::move(demands));
    while (now - m_reports.front().first > sumDelay)
        m_reports.pop_front();
}

double demand_history::minDemandOf(const customer_id& customer) const
{
    double minimum = std::numeric_limits<double>::max();
    for (const auto& [at, demands] : m_reports) {
        const auto known = demands.find(customer);
        minimum = std::min(minimum, known == demands.end() ? 0 : known->second);
    }
    return m_reports.empty() ? 0 : minimum;
}

} // namespace flamingoroute
