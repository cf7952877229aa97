#include "flamingoroute/moves/version_judge.hpp"

#include <algorithm>

namespace flamingoroute {

void version_judge::beginStep(int sharePercent, monotonic_time now)
{
    const bool isSmall = sharePercent <= m_settings.smallSharePercent;
    m_coldUntil = now + (isSmall ? m_settings.coldTimeAtSmallShare : m_settings.coldTime);
    m_isCold = true;
    m_all.restartStep();
    for (auto& [route, evidence] : m_routes)
        evidence.restartStep();
}

void version_judge::add(const std::string& route, const route_counts& more, monotonic_time now)
{
    endColdTimeIfDue(now);
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
    const auto& seen = m_all.counts();
    version_verdict result;
    result.state = isGood() ? verdict_state::good : verdict_state::undecided;
    result.reason = std::to_string(seen.newAttempts) + " attempts at the new version, " + std::to_string(seen.newErrors)
        + " errors, " + std::to_string(seen.newSlow) + " of " + std::to_string(seen.newTimed) + " slow";
    return result;
}

void version_judge::endColdTimeIfDue(monotonic_time now)
{
    if (!m_isCold || now < m_coldUntil)
        return;
    m_isCold = false;
    m_all.endColdTime();
    for (auto& [route, evidence] : m_routes)
        evidence.endColdTime();
}

void version_judge::judge(const std::string& where, const route_evidence& evidence)
{
    if (m_bad)
        return;
    const auto& seen = evidence.counts();
    if (evidence.isFailing()) {
        m_bad = version_verdict { verdict_state::bad,
            "the new version fails on " + where + ": " + std::to_string(seen.newErrors) + " errors in "
                + std::to_string(seen.newAttempts) + " attempts" };
    } else if (!m_isCold && evidence.isSlow()) {
        m_bad = version_verdict { verdict_state::bad,
            "the new version is slow on " + where + ": " + std::to_string(seen.newSlow) + " of "
                + std::to_string(seen.newTimed) + " attempts" };
    }
}

bool version_judge::isGood() const
{
    if (!m_all.isAccepted())
        return false;
    return std::all_of(m_routes.begin(), m_routes.end(), [](const auto& each) { return each.second.isUnsuspicious(); });
}

} // namespace flamingoroute
