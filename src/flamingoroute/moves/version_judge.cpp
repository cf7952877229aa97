#include "flamingoroute/moves/version_judge.hpp"

#include <algorithm>

namespace flamingoroute {

void version_judge::beginStep(int sharePercent, monotonic_time now)
{
    const bool isSmall = sharePercent <= m_settings.smallSharePercent;
    m_warmUpUntil = now + (isSmall ? m_settings.warmUpTimeAtSmallShare : m_settings.warmUpTime);
    m_isWarmingUp = true;
    m_all.restartStep();
    for (auto& [route, evidence] : m_routes)
        evidence.restartStep();
}

void version_judge::add(const std::string& route, const route_counts& more, monotonic_time now)
{
    endWarmUpIfDue(now);
    auto& evidence = m_routes[route];
    evidence.add(more, now);
    m_all.add(more, now);
    judge("route " + route, evidence);
    judge("all routes", m_all);
}

version_verdict version_judge::verdict() const
{
    if (m_bad)
        return *m_bad;
    const auto& counts = m_all.counts();
    version_verdict result;
    result.state = isGood() ? verdict_state::good : verdict_state::undecided;
    result.reason = std::to_string(counts.newAttempts) + " attempts at the new version, "
        + std::to_string(counts.newErrors) + " errors, " + std::to_string(counts.newSlow) + " of "
        + std::to_string(counts.newTimed) + " slow";
    return result;
}

void version_judge::endWarmUpIfDue(monotonic_time now)
{
    if (!m_isWarmingUp || now < m_warmUpUntil)
        return;
    m_isWarmingUp = false;
    m_all.endWarmUp();
    for (auto& [route, evidence] : m_routes)
        evidence.endWarmUp();
}

void version_judge::judge(const std::string& where, const route_evidence& evidence)
{
    if (m_bad)
        return;
    const auto& counts = evidence.counts();
    if (evidence.isFailing()) {
        m_bad = version_verdict { verdict_state::bad,
            "the new version fails on " + where + ": " + std::to_string(counts.newErrors) + " errors in "
                + std::to_string(counts.newAttempts) + " attempts" };
    } else if (!m_isWarmingUp && evidence.isSlow()) {
        m_bad = version_verdict { verdict_state::bad,
            "the new version is slow on " + where + ": " + std::to_string(counts.newSlow) + " of "
                + std::to_string(counts.newTimed) + " attempts" };
    }
}

bool version_judge::isGood() const
{
    if (!m_all.isAccepted())
        return false;
    return std::all_of(m_routes.begin(), m_routes.end(), [](const auto& each) { return each.second.isUnsuspicious(); });
}

} // namespace flamingoroute
