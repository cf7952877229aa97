#include "flamingoroute/fleet/rate_split.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

/// Part of a rate that is split evenly, for instances whose demand has only begun.
constexpr double evenPart = 0.2;
/// Demand is smoothed over about the time between two reports.
constexpr double demandMemorySeconds = 1.0;
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

milliseconds rate_split::admit(const customer_policy& customer, const demand_view& view, monotonic_time now)
{
    auto& held = m_accounts[customer.name];
    if (held.isNew) {
        // A start begins without tokens: the process before it may have spent them.
        held.isNew = false;
        held.at = now;
    }
    const double elapsed = std::max(0.0, secondsBetween(held.at, now));
    held.at = now;
    held.demand = held.demand * std::exp(-elapsed / demandMemorySeconds) + 1 / demandMemorySeconds;
    if (customer.ratePerSecond <= 0)
        return milliseconds(0);
    const double share = rateShare(view);
    const double rate = share * customer.ratePerSecond;
    const double depth = std::max(1.0, share * customer.burst);
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
