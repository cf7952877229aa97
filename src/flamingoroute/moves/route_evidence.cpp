#include "flamingoroute/moves/route_evidence.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr double minErrorProbability = 0.005;
constexpr double errorMargin = 0.045;
constexpr double maxProbability = 0.98;
constexpr failure_probabilities slowProbabilities { 0.1, 0.35 };

failure_probabilities errorProbabilities(double baseline)
{
    failure_probabilities probabilities;
    probabilities.healthy = std::clamp(baseline, minErrorProbability, maxProbability - errorMargin);
    probabilities.faulty
        = std::min(std::max(probabilities.healthy + errorMargin, 2 * probabilities.healthy), maxProbability);
    return probabilities;
}

} // namespace

void route_evidence::add(const route_counts& more, monotonic_time now)
{
    m_counts += more;
    m_baseline.add(more.oldAttempts, more.oldErrors, now);
    m_errors.add(more.newErrors, more.newAttempts - more.newErrors, errorProbabilities(m_baseline.errorShare()));
    m_slowness.add(more.newSlow, more.newTimed - more.newSlow, slowProbabilities);
}

void route_evidence::restartStep()
{
    m_errors.restartAcceptance();
    m_slowness.restartAcceptance();
    m_slowness.restartAlarm();
    m_counts = {};
}

} // namespace flamingoroute
