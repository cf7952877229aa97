#include "flamingoroute/steering/upstream_health.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr double smoothing = 0.1; ///< the weight of a new answer in a running average
constexpr double minSlowStartFactor = 0.1;
constexpr int serverErrorStatus = 500;
constexpr int maxDoublings = 6;
constexpr milliseconds peerReportLifetime { 5000 };
constexpr std::size_t minPeersToCompare = 3;

bool isFailure(const attempt_result& result)
{
    if (result.outcome == attempt_outcome::answered)
        return result.answer.status >= serverErrorStatus;
    return result.outcome != attempt_outcome::refused;
}

} // namespace

upstream_health::upstream_health(steering_settings settings)
    : m_settings(settings)
{
}

void upstream_health::adopt(const configuration& current, monotonic_time now)
{
    std::map<upstream_id, record> next;
    m_upstreamsByVersion.clear();
    for (const auto& target : current.upstreams) {
        const version_key peers { target.service, target.version };
        const auto known = m_records.find(target.name);
        record& made = next[target.name];
        if (known != m_records.end())
            made = known->second;
        const bool isBack = made.isLeavingByConfiguration && !target.isLeaving;
        if ((known == m_records.end() && !m_isFirst) || isBack || (known != m_records.end() && made.peers != peers)) {
            made = {};
            made.isInSlowStart = true;
            made.slowStartAt = now;
        }
        made.peers = peers;
        made.isLeavingByConfiguration = target.isLeaving;
        m_upstreamsByVersion[peers].push_back(target.name);
    }
    m_records = std::move(next);
    m_isFirst = false;
}

void upstream_health::recordResult(const upstream_id& target, const attempt_result& result, monotonic_time now)
{
    const auto found = m_records.find(target);
    if (found == m_records.end())
        return;
    record& known = found->second;
    if (result.isUpstreamLeaving)
        known.ownReportUntil = now + m_settings.leavingReportLifetime;
    recordLoad(known, result.reportedLoad, now);
    if (result.isSlotUnused || result.outcome == attempt_outcome::refused)
        return;
    if (isFailure(result))
        recordFailure(known, now);
    else
        recordSuccess(known, result, now);
    evaluate(known, now);
}

void upstream_health::recordSuccess(record& known, const attempt_result& result, monotonic_time now)
{
    const double took = std::chrono::duration<double, std::milli>(result.duration).count();
    known.latencyMs = known.answers == 0 ? took : known.latencyMs + smoothing * (took - known.latencyMs);
    known.failureShare -= smoothing * known.failureShare;
    known.failuresInRow = 0;
    known.lastSuccessAt = now;
    known.hasSucceeded = true;
    ++known.answers;
    if (known.answers >= m_settings.answersToEvaluate && now >= known.ejectedUntil)
        known.ejections = 0;
}

void upstream_health::recordFailure(record& known, monotonic_time)
{
    known.failureShare += smoothing * (1 - known.failureShare);
    ++known.failuresInRow;
    ++known.answers;
}

void upstream_health::recordLoad(record& known, double load, monotonic_time now) const
{
    if (load < 0)
        return;
    known.reportedLoad = std::min(load, 1.0);
    known.loadAt = now;
}

void upstream_health::recordProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now)
{
    const auto found = m_records.find(target);
    if (found == m_records.end())
        return;
    record& known = found->second;
    if (answer.isLeaving)
        known.ownReportUntil = now + m_settings.leavingReportLifetime;
    const bool isIgnored = known.hasSucceeded && now - known.lastSuccessAt < m_settings.probeIgnoreTime;
    if (isIgnored)
        return;
    if (answer.isReached) {
        recordLoad(known, answer.load, now);
        return;
    }
    recordFailure(known, now);
    evaluate(known, now);
}

void upstream_health::recordLeavingReportedByPeer(const upstream_id& target, monotonic_time now)
{
    const auto found = m_records.find(target);
    if (found != m_records.end())
        found->second.peerReportUntil = now + peerReportLifetime;
}

bool upstream_health::isSlow(const record& known) const
{
    if (known.answers < m_settings.answersToEvaluate)
        return false;
    std::vector<double> others;
    for (const auto& name : m_upstreamsByVersion.at(known.peers)) {
        const record& other = m_records.at(name);
        if (&other != &known && other.answers >= m_settings.answersToEvaluate)
            others.push_back(other.latencyMs);
    }
    if (others.size() < minPeersToCompare)
        return false;
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), middle, others.end());
    return known.latencyMs > *middle * m_settings.latencyRatioToEject;
}

void upstream_health::evaluate(record& known, monotonic_time now)
{
    if (now < known.ejectedUntil)
        return;
    const bool isBroken = known.failuresInRow >= m_settings.failuresToEject;
    const bool isFailing
        = known.answers >= m_settings.answersToEvaluate && known.failureShare >= m_settings.errorRateToEject;
    if (isBroken || isFailing || isSlow(known))
        eject(known, now);
}

void upstream_health::eject(record& known, monotonic_time now)
{
    const auto& peers = m_upstreamsByVersion.at(known.peers);
    const auto ejected = ejectedCount(known.peers.first, known.peers.second, now);
    const auto allowed
        = static_cast<std::size_t>(std::floor(m_settings.ejectedShare * static_cast<double>(peers.size())));
    if (ejected >= allowed)
        return;
    const auto doubled = m_settings.ejectionTime * (1 << std::min(known.ejections, maxDoublings));
    const auto time = std::min<milliseconds>(doubled, m_settings.longestEjection);
    ++known.ejections;
    known.ejectedUntil = now + time;
    known.answers = 0;
    known.failureShare = 0;
    known.failuresInRow = m_settings.failuresToEject - 1; // one more failure ejects it again
    known.isInSlowStart = true;
    known.slowStartAt = known.ejectedUntil;
}

std::size_t upstream_health::ejectedCount(
    const service_id& service, const version_id& version, monotonic_time now) const
{
    const auto peers = m_upstreamsByVersion.find({ service, version });
    if (peers == m_upstreamsByVersion.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(peers->second.begin(), peers->second.end(),
        [&](const upstream_id& name) { return now < m_records.at(name).ejectedUntil; }));
}

bool upstream_health::isLeaving(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_records.find(target);
    if (found == m_records.end())
        return true;
    const record& known = found->second;
    return known.isLeavingByConfiguration || now < known.ownReportUntil || now < known.peerReportUntil;
}

bool upstream_health::isLeavingByOwnReport(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_records.find(target);
    return found != m_records.end() && now < found->second.ownReportUntil;
}

bool upstream_health::isEjected(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_records.find(target);
    return found == m_records.end() || now < found->second.ejectedUntil;
}

double upstream_health::slowStartFactor(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_records.find(target);
    if (found == m_records.end() || !found->second.isInSlowStart)
        return 1;
    const std::chrono::duration<double> since = now - found->second.slowStartAt;
    const std::chrono::duration<double> whole = m_settings.slowStart;
    return std::clamp(since / whole, minSlowStartFactor, 1.0);
}

double upstream_health::load(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_records.find(target);
    if (found == m_records.end())
        return 0;
    const std::chrono::duration<double> age = now - found->second.loadAt;
    const std::chrono::duration<double> half = m_settings.loadHalfLife;
    return found->second.reportedLoad * std::exp2(-(age / half));
}

} // namespace flamingoroute
