#include "flamingoroute/serving/service_times.hpp"

#include "flamingoroute/model/routing_rule.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Initial estimates as multiples of the objective, used until answers are measured: a warm answer is expected well
/// within the objective, a cold one at about the objective.
constexpr double initialWarmFactor = 0.35;
constexpr double initialColdFactor = 1.1;
constexpr double newestWeight = 0.05;
/// An answer that takes longer than this multiple of the warm time is certainly a cold one.
constexpr double minColdFactor = 1.8;
constexpr double maxColdOverWarm = 6;

microseconds scaled(microseconds time, double factor)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

void updateAverage(microseconds& average, microseconds sample) { average += scaled(sample - average, newestWeight); }

} // namespace

service_times::estimate service_times::of(const routing_rule& rule) const
{
    const auto known = m_estimates.find(rule.name);
    if (known != m_estimates.end())
        return known->second;
    const microseconds objective = rule.objective;
    return { scaled(objective, initialWarmFactor), scaled(objective, initialColdFactor) };
}

void service_times::update(const routing_rule& rule, microseconds taken, bool isKnownWarm)
{
    auto& known = m_estimates.try_emplace(rule.name, of(rule)).first->second;
    const microseconds bounded = std::min(taken, scaled(rule.objective, maxColdOverWarm));
    if (isKnownWarm)
        updateAverage(known.warm, bounded);
    else if (bounded > scaled(known.warm, minColdFactor))
        updateAverage(known.cold, bounded);
    known.cold = std::clamp(known.cold, known.warm, scaled(known.warm, maxColdOverWarm));
}

} // namespace flamingoroute
