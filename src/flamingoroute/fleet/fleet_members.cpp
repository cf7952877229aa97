#include "flamingoroute/fleet/fleet_members.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Three reports in a row that did not come.
constexpr microseconds freshFor { 1'700'000 };
/// Longer than any outage of a path that the fleet should bear without registering anew.
constexpr microseconds lostAfter { 30'000'000 };

std::optional<member> memberIn(const fleet_report& report)
{
    member result;
    result.instance = instance_id(report.instance);
    result.failureDomain = failure_domain_id(report.failureDomain);
    result.region = region_id(report.region);
    const bool isWhole = parseEndpoint(report.callerAddress, result.callerAddress)
        && parseEndpoint(report.peerAddress, result.entryAddress) && !report.instance.empty();
    return isWhole ? std::optional(result) : std::nullopt;
}

} // namespace

fleet_members::fleet_members(member self)
    : m_self(std::move(self))
{
}

void fleet_members::noteRegistered(const member& which, monotonic_time now)
{
    if (which.instance == m_self.instance)
        return;
    const auto [entry, isNew] = m_others.try_emplace(which.instance);
    if (isNew)
        entry->second.knownSince = now;
    entry->second.where = which;
    entry->second.isRegistered = true;
}

void fleet_members::noteUnregistered(const instance_id& which) { m_others.erase(which); }

void fleet_members::replaceRegistered(const std::vector<member>& all, monotonic_time now)
{
    std::set<instance_id> listed;
    for (const auto& which : all) {
        noteRegistered(which, now);
        listed.insert(which.instance);
    }
    std::erase_if(
        m_others, [&](const auto& entry) { return !listed.contains(entry.first) && !isFresh(entry.second, now); });
}

void fleet_members::noteReport(const fleet_report& report, monotonic_time now)
{
    const auto sender = memberIn(report);
    if (!sender || sender->instance == m_self.instance)
        return;
    const auto [entry, isNew] = m_others.try_emplace(sender->instance);
    if (isNew)
        entry->second.knownSince = now;
    entry->second.where = *sender;
    entry->second.report = report;
    entry->second.heardAt = now;
}

bool fleet_members::isFresh(const other_member& which, monotonic_time now) const
{
    return which.heardAt != monotonic_time::min() && now - which.heardAt < freshFor;
}

std::size_t fleet_members::heardCount(monotonic_time now) const
{
    const auto heard = std::count_if(
        m_others.begin(), m_others.end(), [&](const auto& entry) { return isFresh(entry.second, now); });
    return static_cast<std::size_t>(heard) + 1;
}

bool fleet_members::isHeard(const instance_id& which, monotonic_time now) const
{
    const auto known = m_others.find(which);
    return known != m_others.end() && isFresh(known->second, now);
}

bool fleet_members::isLost(const instance_id& which, monotonic_time now) const
{
    const auto known = m_others.find(which);
    if (known == m_others.end())
        return false;
    return now - std::max(known->second.heardAt, known->second.knownSince) > lostAfter;
}

std::vector<member> fleet_members::others() const
{
    std::vector<member> result;
    for (const auto& [name, entry] : m_others)
        result.push_back(entry.where);
    return result;
}

std::vector<fleet_report> fleet_members::freshReports(monotonic_time now) const
{
    std::vector<fleet_report> result;
    for (const auto& [name, entry] : m_others) {
        if (isFresh(entry, now))
            result.push_back(entry.report);
    }
    return result;
}

demand_view fleet_members::demandFor(const customer_id& customer, monotonic_time now) const
{
    demand_view view;
    view.members = size();
    for (const auto& demand : m_ownReport.demand) {
        if (demand.customer == customer.value())
            view.own = demand.perSecond;
    }
    view.ofHeard = view.own;
    for (const auto& [name, entry] : m_others) {
        if (!isFresh(entry, now))
            continue;
        ++view.heard;
        view.settled += entry.report.isSettled ? 1 : 0;
        for (const auto& demand : entry.report.demand) {
            if (demand.customer != customer.value())
                continue;
            const double age = std::chrono::duration<double>(now - entry.heardAt).count();
            view.ofHeard += demand.perSecond;
            view.othersAdmitted += demand.admitted + demand.perSecond * age;
        }
    }
    return view;
}

std::vector<member> fleet_members::readyNear(
    const failure_domain_id& domain, const region_id& region, monotonic_time now) const
{
    std::vector<member> ready;
    if (m_isSelfReady)
        ready.push_back(m_self);
    for (const auto& [name, entry] : m_others) {
        if (isFresh(entry, now) && entry.report.isReady && !entry.report.isLeaving)
            ready.push_back(entry.where);
    }
    const auto keep = [&](auto isNear) {
        std::vector<member> near;
        std::copy_if(ready.begin(), ready.end(), std::back_inserter(near), isNear);
        return near;
    };
    auto near = keep([&](const member& which) { return which.failureDomain == domain; });
    if (near.empty())
        near = keep([&](const member& which) { return which.region == region; });
    return near.empty() ? ready : near;
}

std::vector<instance_id> fleet_members::namesIn(const region_id& region) const
{
    std::vector<instance_id> names;
    if (m_self.region == region)
        names.push_back(m_self.instance);
    for (const auto& [name, entry] : m_others) {
        if (entry.where.region == region)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace flamingoroute
