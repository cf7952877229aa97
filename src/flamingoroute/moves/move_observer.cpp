#include "flamingoroute/moves/move_observer.hpp"

namespace flamingoroute {

move_observer::move_observer(const version_move& move, const move_settings& settings, monotonic_time now)
    : m_move(move)
    , m_judge(settings)
{
    m_judge.beginStep(move.sharePercent, now);
}

void move_observer::adopt(const version_move& move, monotonic_time now)
{
    const bool isNewStep = move.steppedAtUnixMs != m_move.steppedAtUnixMs;
    m_move = move;
    if (!isNewStep)
        return;
    m_judge.beginStep(move.sharePercent, now);
    m_counts.clear();
    m_unreported.clear();
}

void move_observer::recordAttempt(const observed_attempt& attempt, monotonic_time now)
{
    const auto more = classify(attempt, now);
    m_counts[attempt.routeName] += more;
    m_unreported.insert(attempt.routeName);
    m_judge.add(attempt.routeName, more, now);
    const auto verdict = m_judge.verdict();
    if (verdict.state == verdict_state::bad)
        stop(verdict.reason);
}

void move_observer::stop(const std::string& reason)
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    m_reason = reason;
}

move_observation move_observer::collectObservation()
{
    move_observation report;
    report.move = m_move.name.value();
    report.startAtUnixMs = m_move.startAtUnixMs;
    report.steppedAtUnixMs = m_move.steppedAtUnixMs;
    report.isStopped = m_isStopped;
    report.reason = m_reason;
    for (const auto& route : m_unreported)
        report.routes.push_back({ route, m_counts[route] });
    m_unreported.clear();
    return report;
}

route_counts move_observer::classify(const observed_attempt& attempt, monotonic_time now)
{
    route_counts more;
    auto& latencies = m_latencies[attempt.routeName];
    if (attempt.version == m_move.from) {
        more.oldAttempts = 1;
        more.oldErrors = attempt.isError ? 1 : 0;
        if (!attempt.isError)
            latencies.addBaseline(attempt.latency, now);
        return more;
    }
    more.newAttempts = 1;
    more.newErrors = attempt.isError ? 1 : 0;
    const auto isSlow = attempt.isError ? std::nullopt : latencies.isSlow(attempt.latency, now);
    more.newTimed = isSlow ? 1 : 0;
    more.newSlow = isSlow.value_or(false) ? 1 : 0;
    return more;
}

} // namespace flamingoroute
