#include "flamingoroute/fleet/demand_history.hpp"

#include <algorithm>
#include <limits>

namespace flamingoroute {

namespace {

/// Until a report of this instance shows in the sums that come back: an interval of reports and one of digests.
constexpr microseconds sumDelay { 1'200'000 };

} // namespace

void demand_history::note(const fleet_report& report, monotonic_time now)
{
    std::map<customer_id, double> demands;
    for (const auto& demand : report.demand)
        demands[customer_id(demand.customer)] = demand.perSecond;
    m_reports.emplace_back(now, std::move(demands));
    while (now - m_reports.front().first > sumDelay)
        m_reports.pop_front();
}

double demand_history::leastOf(const customer_id& customer) const
{
    double least = std::numeric_limits<double>::max();
    for (const auto& [at, demands] : m_reports) {
        const auto known = demands.find(customer);
        least = std::min(least, known == demands.end() ? 0 : known->second);
    }
    return m_reports.empty() ? 0 : least;
}

} // namespace flamingoroute
