#include "flamingoroute/moves/route_evidence.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr double leastErrorChance = 0.005;
constexpr double errorMargin = 0.045;
constexpr double largestChance = 0.98;
constexpr failure_chances slowChances { 0.1, 0.35 };

failure_chances errorChances(double baseline)
{
    failure_chances chances;
    chances.healthy = std::clamp(baseline, leastErrorChance, largestChance - errorMargin);
    chances.faulty = std::min(std::max(chances.healthy + errorMargin, 2 * chances.healthy), largestChance);
    return chances;
}

} // namespace

void route_evidence::add(const route_counts& more, monotonic_time now)
{
    m_counts += more;
    m_baseline.add(more.oldAttempts, more.oldErrors, now);
    m_errors.add(more.newErrors, more.newAttempts - more.newErrors, errorChances(m_baseline.errorShare()));
    m_slowness.add(more.newSlow, more.newTimed - more.newSlow, slowChances);
}

void route_evidence::restartStep()
{
    m_errors.restartAcceptance();
    m_slowness.restartAcceptance();
    m_slowness.restartAlarm();
    m_counts = {};
}

} // namespace flamingoroute
