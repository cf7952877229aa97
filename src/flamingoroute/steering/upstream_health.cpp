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
        const auto entry = m_records.find(target.name);
        record& made = next[target.name];
        if (entry != m_records.end())
            made = entry->second;
        const bool isBack = made.isLeavingByConfiguration && !target.isLeaving;
        if ((entry == m_records.end() && !m_isFirst) || isBack || (entry != m_records.end() && made.peers != peers)) {
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
    record& entry = found->second;
    if (result.isUpstreamLeaving)
        entry.ownReportUntil = now + m_settings.leavingReportLifetime;
    recordLoad(entry, result.reportedLoad, now);
    if (result.isSlotUnused || result.outcome == attempt_outcome::refused)
        return;
    if (isFailure(result))
        recordFailure(entry, now);
    else
        recordSuccess(entry, result, now);
    evaluate(entry, now);
}

void upstream_health::recordSuccess(record& entry, const attempt_result& result, monotonic_time now)
{
    const double took = std::chrono::duration<double, std::milli>(result.duration).count();
    entry.latencyMs = entry.answers == 0 ? took : entry.latencyMs + smoothing * (took - entry.latencyMs);
    entry.failureShare -= smoothing * entry.failureShare;
    entry.failuresInRow = 0;
    entry.lastSuccessAt = now;
    entry.hasSucceeded = true;
    ++entry.answers;
    if (entry.answers >= m_settings.answersToEvaluate && now >= entry.ejectedUntil)
        entry.ejections = 0;
}

void upstream_health::recordFailure(record& entry, monotonic_time)
{
    entry.failureShare += smoothing * (1 - entry.failureShare);
    ++entry.failuresInRow;
    ++entry.answers;
}

void upstream_health::recordLoad(record& entry, double load, monotonic_time now) const
{
    if (load < 0)
        return;
    entry.reportedLoad = std::min(load, 1.0);
    entry.loadAt = now;
}

void upstream_health::recordProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now)
{
    const auto found = m_records.find(target);
    if (found == m_records.end())
        return;
    record& entry = found->second;
    if (answer.isLeaving)
        entry.ownReportUntil = now + m_settings.leavingReportLifetime;
    const bool isIgnored = entry.hasSucceeded && now - entry.lastSuccessAt < m_settings.probeIgnoreTime;
    if (isIgnored)
        return;
    if (answer.isReached) {
        recordLoad(entry, answer.load, now);
        return;
    }
    recordFailure(entry, now);
    evaluate(entry, now);
}

void upstream_health::recordLeavingReportedByPeer(const upstream_id& target, monotonic_time now)
{
    const auto found = m_records.find(target);
    if (found != m_records.end())
        found->second.peerReportUntil = now + peerReportLifetime;
}

bool upstream_health::isSlow(const record& entry) const
{
    if (entry.answers < m_settings.answersToEvaluate)
        return false;
    std::vector<double> others;
    for (const auto& name : m_upstreamsByVersion.at(entry.peers)) {
        const record& other = m_records.at(name);
        if (&other != &entry && other.answers >= m_settings.answersToEvaluate)
            others.push_back(other.latencyMs);
    }
    if (others.size() < minPeersToCompare)
        return false;
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), middle, others.end());
    return entry.latencyMs > *middle * m_settings.latencyRatioToEject;
}

void upstream_health::evaluate(record& entry, monotonic_time now)
{
    if (now < entry.ejectedUntil)
        return;
    const bool isBroken = entry.failuresInRow >= m_settings.failuresToEject;
    const bool isFailing
        = entry.answers >= m_settings.answersToEvaluate && entry.failureShare >= m_settings.errorRateToEject;
    if (isBroken || isFailing || isSlow(entry))
        eject(entry, now);
}

void upstream_health::eject(record& entry, monotonic_time now)
{
    const auto& peers = m_upstreamsByVersion.at(entry.peers);
    const auto ejected = ejectedCount(entry.peers.first, entry.peers.second, now);
    const auto allowed
        = static_cast<std::size_t>(std::floor(m_settings.ejectedShare * static_cast<double>(peers.size())));
    if (ejected >= allowed)
        return;
    const auto doubled = m_settings.ejectionTime * (1 << std::min(entry.ejections, maxDoublings));
    const auto time = std::min<milliseconds>(doubled, m_settings.maxEjection);
    ++entry.ejections;
    entry.ejectedUntil = now + time;
    entry.answers = 0;
    entry.failureShare = 0;
    entry.failuresInRow = m_settings.failuresToEject - 1; // one more failure ejects it again
    entry.isInSlowStart = true;
    entry.slowStartAt = entry.ejectedUntil;
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
    const record& entry = found->second;
    return entry.isLeavingByConfiguration || now < entry.ownReportUntil || now < entry.peerReportUntil;
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
