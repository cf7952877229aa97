#include "flamingoroute/fleet/rate_split.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

/// Part of a rate that is split evenly, for instances whose demand has only begun.
constexpr double evenPart = 0.1;
/// Demand is smoothed over several reports; a shorter memory makes the shares follow chance.
constexpr double demandMemorySeconds = 3.0;
/// Part of what the fleet may admit beyond rate and burst; the rest covers shares that change while reports travel.
constexpr double usedSlack = 0.7;
constexpr double leastDemand = 0.01;
/// Part of what a window may hold up to which requests are admitted on credit. The rest covers what the instances admit
/// before they hear of each other: at eight times the rate, about three seconds' worth of the rate.
constexpr double creditPart = 0.6;
/// After a restart: until reports have gone round once, nobody knows what a customer asks for.
constexpr double firstReportsSeconds = 0.4;
/// A customer that asks for less than this part of its rate cannot exceed it soon.
constexpr double surelyBelow = 0.9;
constexpr double mostlyHeard = 0.9;
/// So many requests of a customer may be chance.
constexpr double chanceRequests = 2;
/// Part of the slack beyond a rate that requests of the first seconds may use.
constexpr double startSlackPart = 0.3;
constexpr double risenFactor = 1.3;
constexpr double risenBy = 5;
constexpr milliseconds longestWait { 5000 };
/// In the first seconds parts of a rate grow with what is heard, so that tokens alone say too long a wait.
constexpr milliseconds longestWaitAfterStart { 700 };

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

double rate_split::windowLimit(const customer_policy& customer) const
{
    const double window = std::chrono::duration<double>(m_bounds.rateWindow).count();
    return customer.ratePerSecond * window + customer.burst;
}

double rate_split::fleetDepth(const customer_policy& customer) const
{
    return customer.burst + usedSlack * (windowLimit(customer) * m_bounds.rateOvershoot + m_bounds.rateSlack);
}

bool rate_split::mayTakeCredit(
    const customer_policy& customer, const demand_view& view, double ownAdmitted, monotonic_time now) const
{
    const double limit = windowLimit(customer) * (1 + m_bounds.rateOvershoot) + m_bounds.rateSlack;
    // What an instance admitted before it restarted is not known, nor what one that is not heard admits.
    const double known = static_cast<double>(view.settled + (hasFullWindow(now) ? 1 : 0));
    const double knownPart = known / static_cast<double>(std::max<std::size_t>(1, view.members));
    return ownAdmitted + view.othersAdmitted + 1 <= creditPart * limit * std::min(1.0, knownPart);
}

bool rate_split::asksForLess(
    const customer_policy& customer, const demand_view& view, double ownAdmitted, monotonic_time now) const
{
    const double age = secondsBetween(m_startedAt, now);
    const double heardPart
        = static_cast<double>(view.heard) / static_cast<double>(std::max<std::size_t>(1, view.members));
    if (hasFullWindow(now) || age < firstReportsSeconds || heardPart < mostlyHeard)
        return false;
    // A smoothed count that began at zero shows only this part of what a customer asks for.
    const double shownPart = 1 - std::exp(-age / demandMemorySeconds);
    const double demand = (view.ofHeard - chanceRequests / demandMemorySeconds) / shownPart;
    const double slack = startSlackPart * (windowLimit(customer) * m_bounds.rateOvershoot + m_bounds.rateSlack);
    const double admitted = ownAdmitted + view.othersAdmitted + 1;
    return demand <= surelyBelow * customer.ratePerSecond && admitted <= customer.ratePerSecond * age + slack;
}

milliseconds rate_split::admit(const customer_policy& customer, const demand_view& view, monotonic_time now)
{
    // A start begins without tokens: the process before it may have spent them.
    auto& held = m_accounts.try_emplace(customer.name, account { 0, 0, m_startedAt, {} }).first->second;
    const double elapsed = std::max(0.0, secondsBetween(held.at, now));
    held.at = now;
    held.demand = held.demand * std::exp(-elapsed / demandMemorySeconds) + 1 / demandMemorySeconds;
    if (customer.ratePerSecond <= 0)
        return milliseconds(0);
    const double share = rateShare(view);
    const double rate = share * customer.ratePerSecond;
    const double depth = std::max(1.0, share * fleetDepth(customer));
    held.tokens = std::min(depth, held.tokens + rate * elapsed);
    const double ownAdmitted = held.admitted.count(now, m_bounds.rateWindow);
    if (held.tokens >= 1 || mayTakeCredit(customer, view, ownAdmitted, now)
        || asksForLess(customer, view, ownAdmitted, now)) {
        held.tokens -= 1;
        held.admitted.add(now, m_bounds.rateWindow);
        return milliseconds(0);
    }
    constexpr double msPerSecond = 1000;
    const double wait = (1 - held.tokens) / std::max(rate, leastDemand) * msPerSecond;
    const auto longest = hasFullWindow(now) ? longestWait : longestWaitAfterStart;
    return milliseconds(std::clamp<std::int64_t>(std::llround(wait), 1, longest.count()));
}

void rate_split::noteExtraAttempt(const customer_policy& customer, monotonic_time now)
{
    const auto known = m_accounts.find(customer.name);
    if (known == m_accounts.end() || customer.ratePerSecond <= 0)
        return;
    known->second.tokens -= 1;
    known->second.admitted.add(now, m_bounds.rateWindow);
}

bool rate_split::hasRisen(const customer_id& customer, double reported, monotonic_time now) const
{
    const auto known = m_accounts.find(customer);
    return known != m_accounts.end()
        && known->second.admitted.count(now, m_bounds.rateWindow) > reported * risenFactor + risenBy;
}

rate_usage rate_split::usageIn(const account& held, monotonic_time now) const
{
    const double age = std::max(0.0, secondsBetween(held.at, now));
    return { held.demand * std::exp(-age / demandMemorySeconds),
        static_cast<double>(held.admitted.count(now, m_bounds.rateWindow)) };
}

std::map<customer_id, rate_usage> rate_split::usage(monotonic_time now) const
{
    std::map<customer_id, rate_usage> result;
    for (const auto& [name, held] : m_accounts)
        result[name] = usageIn(held, now);
    return result;
}

} // namespace flamingoroute
