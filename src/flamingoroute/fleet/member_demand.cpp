#include "flamingoroute/fleet/demand_list.hpp"
#include "flamingoroute/fleet/fleet_members.hpp"

#include <algorithm>

/// The part of fleet_members that answers for the demand of customers.
namespace flamingoroute {

namespace {

/// Minimum fraction of the current demand that counts while demand rises. A smaller one would refuse requests that have
/// just moved to an instance.
constexpr double minCountedFraction = 0.8;

} // namespace

void fleet_members::recordLocalReport(const fleet_report& report, monotonic_time now)
{
    m_localReport = report;
    sortByCustomer(m_localReport.demand);
    m_localDemands.record(report, now);
}

demand_view fleet_members::localDemand(const customer_id& customer) const
{
    demand_view view;
    view.members = size();
    if (const auto* demand = findDemand(m_localReport.demand, customer)) {
        view.local = demand->perSecond;
        view.localAdmitted = demand->admitted;
    }
    return view;
}

demand_view fleet_members::demandFromDigests(const customer_id& customer, monotonic_time now) const
{
    auto view = localDemand(customer);
    view.settledLocal = m_localDemands.minDemandOf(customer);
    // Counts rising demand only in part: the current demand over an older sum would give shares that add up to more
    // than the whole.
    view.local = std::max(view.settledLocal, minCountedFraction * view.local);
    const auto fleet = m_digests.demandOf(customer, now);
    view.withFullWindow = fleet.withFullWindow;
    view.reachable = std::clamp<std::size_t>(fleet.reachable, 1, view.members);
    view.ofReachable = std::max(fleet.perSecond, view.local);
    view.othersAdmitted = std::max(0.0, fleet.admitted - view.localAdmitted);
    view.reportAge = fleet.age;
    // The sum of the own region counts this instance, which the caller counts separately.
    view.withFullWindow -= view.withFullWindow > 0 && m_localReport.hasFullWindow ? 1 : 0;
    return view;
}

demand_view fleet_members::demandFor(const customer_id& customer, monotonic_time now) const
{
    if (usesRelays())
        return demandFromDigests(customer, now);
    auto view = localDemand(customer);
    // In a full mesh all instances have received the same reports.
    view.settledLocal = view.local;
    view.ofReachable = view.local;
    for (const auto& [name, entry] : m_others) {
        if (!isFresh(entry, now))
            continue;
        ++view.reachable;
        view.reportAge = std::max(view.reportAge, std::chrono::duration<double>(now - entry.lastSeenAt).count());
        view.withFullWindow += entry.report.hasFullWindow ? 1 : 0;
        if (const auto* demand = findDemand(entry.report.demand, customer)) {
            view.ofReachable += demand->perSecond;
            view.othersAdmitted += demand->admitted;
        }
    }
    return view;
}

} // namespace flamingoroute
