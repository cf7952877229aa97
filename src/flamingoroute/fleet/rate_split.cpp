#include "flamingoroute/fleet/rate_split.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

/// Fraction of a rate that is split evenly, for instances whose demand has just started.
constexpr double evenFraction = 0.1;
/// Demand is smoothed over several reports; with a shorter time the shares follow random variation.
constexpr double demandSmoothingSeconds = 3.0;
/// Part of the allowed excess over rate and burst that the shares use; the remainder is a reserve for shares that
/// change while reports are in transit.
constexpr double usedSlackFraction = 0.7;
constexpr double minDemand = 0.01;
/// Fraction of the window limit up to which requests are admitted on credit. The remainder is a reserve for
/// requests admitted before reports arrive: at eight times the rate, about 3 s x rate.
constexpr double creditFraction = 0.55;
/// Time after the start of the process within which every instance has reported once; before, the demand is unknown.
constexpr double firstReportsSeconds = 0.4;
/// Below this fraction of the rate, demand is treated as within the rate: it cannot exceed the rate soon.
constexpr double lowDemandFraction = 0.9;
/// The demand of the fleet is estimated during startup only if at least this fraction of the instances is reachable.
constexpr double minReachableFraction = 0.9;
/// Up to this many requests of a customer may be random variation.
constexpr double noiseRequests = 2;
/// Fraction of the slack beyond a rate that may be used in the first seconds.
constexpr double startupSlackFraction = 0.3;
/// An early report is due if more requests were admitted than reported x riseFactor + riseMargin.
constexpr double riseFactor = 1.3;
constexpr double riseMargin = 2;
constexpr milliseconds maxRetryAfter { 5000 };
/// In the first seconds the shares grow as reports arrive, so the wait computed from the tokens is too long.
constexpr milliseconds maxRetryAfterStartup { 700 };

double secondsBetween(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

double rateShare(const demand_view& view)
{
    const double members = static_cast<double>(std::max<std::size_t>(1, view.members));
    const double reachable = std::min(members, static_cast<double>(std::max<std::size_t>(1, view.reachable)));
    const double local = view.local + minDemand;
    const double all = std::max(local, view.ofReachable + minDemand * reachable);
    return evenFraction / members + (1 - evenFraction) * (reachable / members) * (local / all);
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
    return customer.burst + usedSlackFraction * (windowLimit(customer) * m_bounds.rateOvershoot + m_bounds.rateSlack);
}

double rate_split::estimatedAdmitted(const demand_view& view) const
{
    // While reports are in transit, new requests enter the window and the oldest ones leave it.
    const double window = std::chrono::duration<double>(m_bounds.rateWindow).count();
    const double othersPerSecond = std::max(0.0, view.ofReachable - view.local);
    return view.othersAdmitted + std::max(0.0, othersPerSecond - view.othersAdmitted / window) * view.reportAge;
}

bool rate_split::isFarFromLimit(const customer_policy& customer, const demand_view& view, double localAdmitted) const
{
    const double limit = windowLimit(customer) * (1 + m_bounds.rateOvershoot) + m_bounds.rateSlack;
    return localAdmitted + estimatedAdmitted(view) + 1 <= creditFraction * limit;
}

bool rate_split::mayAdmitOnCredit(
    const customer_policy& customer, const demand_view& view, double localAdmitted, monotonic_time now) const
{
    const double limit = windowLimit(customer) * (1 + m_bounds.rateOvershoot) + m_bounds.rateSlack;
    // Unknown: what an instance admitted before its restart, and what an unreachable instance admits.
    const double known = static_cast<double>(view.withFullWindow + (hasFullWindow(now) ? 1 : 0));
    const double knownFraction = known / static_cast<double>(std::max<std::size_t>(1, view.members));
    return localAdmitted + estimatedAdmitted(view) + 1 <= creditFraction * limit * std::min(1.0, knownFraction);
}

bool rate_split::mayAdmitDuringStartup(
    const customer_policy& customer, const demand_view& view, double localAdmitted, monotonic_time now) const
{
    const double age = secondsBetween(m_startedAt, now);
    const double reachableFraction
        = static_cast<double>(view.reachable) / static_cast<double>(std::max<std::size_t>(1, view.members));
    if (hasFullWindow(now) || age < firstReportsSeconds || reachableFraction < minReachableFraction)
        return false;
    // A smoothed count that started at zero shows only this fraction of the demand.
    const double visibleFraction = 1 - std::exp(-age / demandSmoothingSeconds);
    const double demand = (view.ofReachable - noiseRequests / demandSmoothingSeconds) / visibleFraction;
    const double slack = startupSlackFraction * (windowLimit(customer) * m_bounds.rateOvershoot + m_bounds.rateSlack);
    const double admitted = localAdmitted + estimatedAdmitted(view) + 1;
    return demand <= lowDemandFraction * customer.ratePerSecond && admitted <= customer.ratePerSecond * age + slack;
}

milliseconds rate_split::admit(const customer_policy& customer, const demand_view& view, monotonic_time now)
{
    // Starts without tokens: the previous process may have spent them.
    auto& bucket = m_buckets.try_emplace(customer.name, token_bucket { 0, 0, m_startedAt, {} }).first->second;
    const double elapsed = std::max(0.0, secondsBetween(bucket.updatedAt, now));
    bucket.updatedAt = now;
    bucket.demand = bucket.demand * std::exp(-elapsed / demandSmoothingSeconds) + 1 / demandSmoothingSeconds;
    if (customer.ratePerSecond <= 0)
        return milliseconds(0);
    const double localAdmitted = bucket.admitted.count(now, m_bounds.rateWindow);
    auto shareView = view;
    if (!isFarFromLimit(customer, view, localAdmitted))
        shareView.local = std::min(view.local, view.settledLocal);
    const double share = rateShare(shareView);
    const double rate = share * customer.ratePerSecond;
    const double depth = std::max(1.0, share * fleetDepth(customer));
    bucket.tokens = std::min(depth, bucket.tokens + rate * elapsed);
    if (bucket.tokens >= 1 || mayAdmitOnCredit(customer, view, localAdmitted, now)
        || mayAdmitDuringStartup(customer, view, localAdmitted, now)) {
        bucket.tokens -= 1;
        bucket.admitted.add(now, m_bounds.rateWindow);
        return milliseconds(0);
    }
    constexpr double msPerSecond = 1000;
    const double wait = (1 - bucket.tokens) / std::max(rate, minDemand) * msPerSecond;
    const auto longest = hasFullWindow(now) ? maxRetryAfter : maxRetryAfterStartup;
    return milliseconds(std::clamp<std::int64_t>(std::llround(wait), 1, longest.count()));
}

void rate_split::recordExtraAttempt(const customer_policy& customer, monotonic_time now)
{
    const auto found = m_buckets.find(customer.name);
    if (found == m_buckets.end() || customer.ratePerSecond <= 0)
        return;
    found->second.tokens -= 1;
    found->second.admitted.add(now, m_bounds.rateWindow);
}

bool rate_split::isEarlyReportDue(const customer_id& customer, double reported, monotonic_time now) const
{
    const auto found = m_buckets.find(customer);
    return found != m_buckets.end()
        && found->second.admitted.count(now, m_bounds.rateWindow) > reported * riseFactor + riseMargin;
}

rate_usage rate_split::usageIn(const token_bucket& bucket, monotonic_time now) const
{
    const double age = std::max(0.0, secondsBetween(bucket.updatedAt, now));
    return { bucket.demand * std::exp(-age / demandSmoothingSeconds),
        static_cast<double>(bucket.admitted.count(now, m_bounds.rateWindow)) };
}

std::map<customer_id, rate_usage> rate_split::usage(monotonic_time now) const
{
    std::map<customer_id, rate_usage> result;
    for (const auto& [name, bucket] : m_buckets)
        result[name] = usageIn(bucket, now);
    return result;
}

} // namespace flamingoroute
