#include "flamingoroute/fleet/rate_split.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

/// Part of a rate that is split evenly, for instances whose demand has only begun.
constexpr double evenPart = 0.2;
/// Demand is smoothed over several reports; a shorter memory makes the shares follow chance.
constexpr double demandMemorySeconds = 3.0;
/// Part of what the fleet may admit beyond rate and burst; the rest covers shares that change while reports travel.
constexpr double usedSlack = 0.7;
constexpr double leastDemand = 0.01;

double secondsBetween(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

double rateShare(const demand_view& view)
{
    const double members = static_cast<double>(std::max<std::size_t>(1, view.members));
    const double heard = std::min(members, static_cast<double>(std::max<std::size_t>(1, view.heard)));
    const double own = view.own + leastDemand;
    const double all = std::max(own, view.ofHeard + leastDemand * heard);
    return evenPart / members + (1 - evenPart) * (heard / members) * (own / all);
}

rate_split::rate_split(const fleet_bounds& bounds, monotonic_time startedAt)
    : m_bounds(bounds)
    , m_startedAt(startedAt)
{
}

double rate_split::fleetDepth(const customer_policy& customer) const
{
    const double window = std::chrono::duration<double>(m_bounds.rateWindow).count();
    const double nominal = customer.ratePerSecond * window + customer.burst;
    return customer.burst + usedSlack * (nominal * m_bounds.rateOvershoot + m_bounds.rateSlack);
}

milliseconds rate_split::admit(const customer_policy& customer, const demand_view& view, monotonic_time now)
{
    // A start begins without tokens: the process before it may have spent them.
    auto& held = m_accounts.try_emplace(customer.name, account { 0, 0, m_startedAt }).first->second;
    const double elapsed = std::max(0.0, secondsBetween(held.at, now));
    held.at = now;
    held.demand = held.demand * std::exp(-elapsed / demandMemorySeconds) + 1 / demandMemorySeconds;
    if (customer.ratePerSecond <= 0)
        return milliseconds(0);
    const double share = rateShare(view);
    const double rate = share * customer.ratePerSecond;
    const double depth = std::max(1.0, share * fleetDepth(customer));
    held.tokens = std::min(depth, held.tokens + rate * elapsed);
    if (held.tokens >= 1) {
        held.tokens -= 1;
        return milliseconds(0);
    }
    constexpr double msPerSecond = 1000;
    const double wait = (1 - held.tokens) / std::max(rate, leastDemand) * msPerSecond;
    return milliseconds(std::max<std::int64_t>(1, std::llround(wait)));
}

std::map<customer_id, double> rate_split::demand(monotonic_time now) const
{
    std::map<customer_id, double> result;
    for (const auto& [name, held] : m_accounts)
        result[name] = held.demand * std::exp(-std::max(0.0, secondsBetween(held.at, now)) / demandMemorySeconds);
    return result;
}

void rate_split::retainOnly(const std::map<customer_id, double>& kept)
{
    std::erase_if(m_accounts, [&](const auto& entry) { return !kept.contains(entry.first); });
}

} // namespace flamingoroute
