#include "flamingoroute/placement/upstream_directory.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingoroute {

namespace {

/// A load report is outdated after about the duration of one request.
constexpr microseconds loadHalfLife { 400'000 };
constexpr microseconds baseBackOff { 500'000 };
constexpr microseconds maxBackOff { 4'000'000 };
constexpr int maxBackOffDoublings = 4;
/// A single broken connection may be a network fault.
constexpr int failuresBeforeBackOff = 2;
/// Weight of the newest attempt in the moving averages.
constexpr double newestWeight = 0.2;
/// Without new attempts, the measured slowness and failure share of an upstream decay with this half-life.
constexpr microseconds healthHalfLife { 2'500'000 };
/// Longer than a late write of a heartbeat may take effect after the upstream has left.
constexpr microseconds rememberRemovedFor { 60'000'000 };
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20;
/// Upstreams that report how long work takes report another value many times a second.
constexpr microseconds workTimeHalfLife { 150'000 };
constexpr double usualWorkTimePercent = 100;

microseconds backOffAfter(int failures)
{
    const int doublings = std::min(failures, maxBackOffDoublings);
    return std::min(maxBackOff, baseBackOff * (1 << doublings));
}

bool isFailure(attempt_verdict verdict)
{
    return verdict == attempt_verdict::failed || verdict == attempt_verdict::broken
        || verdict == attempt_verdict::unreachable || verdict == attempt_verdict::timed_out;
}

/// An upstream that sheds requests while it has free slots counts as faulty, not as full.
bool isShedWithFreeSlots(const attempt_report& report)
{
    return report.verdict == attempt_verdict::shed && report.load && report.load->waiting == 0
        && report.load->running < report.load->slots;
}

double decayFactor(monotonic_time then, monotonic_time now, microseconds halfLife)
{
    const double age = static_cast<double>(std::max<std::int64_t>(0, (now - then).count()));
    return std::exp2(-age / static_cast<double>(halfLife.count()));
}

double workTimeFactorOf(const std::optional<reported_load>& load)
{
    if (!load || !load->workTimePercent)
        return 1;
    return std::clamp(*load->workTimePercent / usualWorkTimePercent, 1.0, maxSlowness);
}

/// @return the time ratio without the part that slow work explains; not below 1, since the work time is that of the
///         answer's end and may have been usual before
double unexplainedTimeRatio(const attempt_report& report)
{
    const double factor = workTimeFactorOf(report.load);
    return report.timeRatio <= 1 ? report.timeRatio : std::max(1.0, report.timeRatio / factor);
}

double decayedSlowness(const upstream_state& upstream, monotonic_time now)
{
    return 1 + (upstream.slowness - 1) * decayFactor(upstream.healthUpdatedAt, now, healthHalfLife);
}

void updateLoad(upstream_state& upstream, const reported_load& load, monotonic_time now)
{
    upstream.othersLoad = std::max(0, load.running + load.waiting - upstream.inFlight);
    upstream.loadReportedAt = now;
    upstream.workTimeFactor = workTimeFactorOf(load);
    upstream.workTimeReportedAt = now;
}

void updateLimit(upstream_state& upstream, const attempt_report& report)
{
    const bool isLifted = report.verdict == attempt_verdict::served && !report.requestLimit;
    if (isLifted || report.requestLimit)
        upstream.requestLimit = report.requestLimit;
    if (isLifted)
        upstream.nextLimitedSendAt = {};
}

void updateHealth(upstream_state& upstream, const attempt_report& report, monotonic_time now)
{
    const double failed = isFailure(report.verdict) || isShedWithFreeSlots(report) ? 1 : 0;
    upstream.failureShare = currentFailureShare(upstream, now);
    upstream.failureShare += newestWeight * (failed - upstream.failureShare);
    upstream.slowness = decayedSlowness(upstream, now);
    upstream.healthUpdatedAt = now;
    if (report.timeRatio > 0) {
        const double ratio = std::clamp(unexplainedTimeRatio(report), minSlowness, maxSlowness);
        upstream.slowness += newestWeight * (ratio - upstream.slowness);
    }
}

bool changesPlacement(const upstream_state& known, const registered_upstream& entry, bool isLeaving)
{
    const auto& before = known.registration;
    return known.isLeaving != isLeaving || before.failureDomain != entry.failureDomain
        || before.version != entry.version || before.slots != entry.slots;
}

} // namespace

bool acceptsNow(const upstream_state& upstream, monotonic_time now)
{
    return now >= upstream.nextLimitedSendAt && now >= upstream.pausedUntil;
}

double estimatedLoad(const upstream_state& upstream, monotonic_time now)
{
    return upstream.inFlight + upstream.othersLoad * decayFactor(upstream.loadReportedAt, now, loadHalfLife);
}

double currentSlowness(const upstream_state& upstream, monotonic_time now)
{
    const double workTime
        = 1 + (upstream.workTimeFactor - 1) * decayFactor(upstream.workTimeReportedAt, now, workTimeHalfLife);
    return decayedSlowness(upstream, now) * workTime;
}

double currentFailureShare(const upstream_state& upstream, monotonic_time now)
{
    return upstream.failureShare * decayFactor(upstream.healthUpdatedAt, now, healthHalfLife);
}

upstream_directory::upstream_directory(std::map<failure_domain_id, region_id> regions)
    : m_regions(std::move(regions))
{
}

bool upstream_directory::apply(const registered_upstream& entry, monotonic_time now)
{
    const auto lastStart = lastStartOf(entry.name);
    if (lastStart.isLeaving && lastStart.startedAtMs > entry.startedAtMs)
        return false;
    const bool wasLeaving = lastStart.isLeaving && lastStart.startedAtMs == entry.startedAtMs;
    m_removed.erase(entry.name);
    auto& known = m_upstreams[entry.name];
    const bool isNewProcess = known.registration.name.empty() || known.registration.startedAtMs != entry.startedAtMs
        || known.registration.address != entry.address;
    const bool changesService = isNewProcess || known.registration.service != entry.service;
    if (changesService)
        removeFromService(known);
    if (changesService || changesPlacement(known, entry, wasLeaving || entry.isDraining))
        ++m_revision;
    if (isNewProcess) {
        known = upstream_state {};
        known.lastAnswerAt = now;
    }
    known.registration = entry;
    known.nameHash = hash64(entry.name.value());
    m_byShortHash[static_cast<std::uint32_t>(known.nameHash)] = &known;
    known.isLeaving = wasLeaving || entry.isDraining;
    const auto region = m_regions.find(entry.failureDomain);
    known.region = region == m_regions.end() ? region_id() : region->second;
    known.coldUntil = std::max(known.coldUntil, now + microseconds(entry.remainingColdTime));
    if (changesService)
        addToService(known);
    return true;
}

void upstream_directory::addToService(const upstream_state& upstream)
{
    auto& list = m_byService[upstream.registration.service];
    const auto place = std::lower_bound(
        list.begin(), list.end(), &upstream, [](const upstream_state* left, const upstream_state* right) {
            return left->registration.name < right->registration.name;
        });
    list.insert(place, &upstream);
}

void upstream_directory::removeFromService(const upstream_state& upstream)
{
    const auto known = m_byService.find(upstream.registration.service);
    if (known != m_byService.end())
        std::erase(known->second, &upstream);
}

upstream_directory::upstream_start upstream_directory::lastStartOf(const upstream_id& name) const
{
    const auto listed = m_upstreams.find(name);
    if (listed != m_upstreams.end())
        return { listed->second.registration.startedAtMs, listed->second.isLeaving, {} };
    const auto removed = m_removed.find(name);
    return removed == m_removed.end() ? upstream_start {} : removed->second;
}

void upstream_directory::remove(const upstream_id& name, monotonic_time now)
{
    const auto known = m_upstreams.find(name);
    if (known == m_upstreams.end())
        return;
    std::erase_if(m_removed, [&](const auto& entry) { return now - entry.second.removedAt > rememberRemovedFor; });
    m_removed[name] = { known->second.registration.startedAtMs, known->second.isLeaving, now };
    removeFromService(known->second);
    const auto byHash = m_byShortHash.find(static_cast<std::uint32_t>(known->second.nameHash));
    if (byHash != m_byShortHash.end() && byHash->second == &known->second)
        m_byShortHash.erase(byHash);
    m_upstreams.erase(known);
    ++m_revision;
}

void upstream_directory::setEvacuated(
    const std::set<failure_domain_id>& domains, milliseconds coldTime, monotonic_time now)
{
    for (auto& [name, upstream] : m_upstreams) {
        const auto& domain = upstream.registration.failureDomain;
        if (m_evacuated.contains(domain) && !domains.contains(domain))
            upstream.coldUntil = std::max(upstream.coldUntil, now + microseconds(coldTime));
    }
    m_revision += m_evacuated == domains ? 0 : 1;
    m_evacuated = domains;
}

void upstream_directory::recordSent(const upstream_id& name, monotonic_time now)
{
    const auto known = m_upstreams.find(name);
    if (known == m_upstreams.end())
        return;
    auto& upstream = known->second;
    ++upstream.inFlight;
    upstream.ownRequests.record(upstream.inFlight, now);
}

void upstream_directory::recordFleetLoad(std::uint32_t nameHash, int requests, monotonic_time measuredAt)
{
    const auto known = m_byShortHash.find(nameHash);
    if (known == m_byShortHash.end())
        return;
    auto& upstream = *known->second;
    if (measuredAt <= upstream.loadReportedAt)
        return;
    upstream.othersLoad = std::max(0, requests - upstream.ownRequests.at(measuredAt));
    upstream.loadReportedAt = measuredAt;
}

void upstream_directory::takeLimitShare(const upstream_id& name, const limit_share& share, monotonic_time now)
{
    const auto known = m_upstreams.find(name);
    if (known == m_upstreams.end())
        return;
    auto& next = known->second.nextLimitedSendAt;
    const monotonic_time earliest = now - share.interval * (share.burst - 1);
    next = std::max(next, earliest) + share.interval;
}

void upstream_directory::recordResult(
    const upstream_id& name, const attempt_report& report, milliseconds coldTime, monotonic_time now)
{
    const auto known = m_upstreams.find(name);
    if (known == m_upstreams.end())
        return;
    auto& upstream = known->second;
    upstream.inFlight = std::max(0, upstream.inFlight - 1);
    upstream.ownRequests.record(upstream.inFlight, now);
    if (report.verdict == attempt_verdict::abandoned)
        return;
    updateHealth(upstream, report, now);
    if (report.remainingColdTime)
        upstream.coldUntil = now + microseconds(*report.remainingColdTime);
    if (report.load)
        updateLoad(upstream, *report.load, now);
    updateLimit(upstream, report);
    if (report.pause)
        upstream.pausedUntil = std::max<monotonic_time>(upstream.pausedUntil, now + *report.pause);
    if (report.verdict == attempt_verdict::misdirected && !std::exchange(upstream.isMisdirected, true))
        ++m_revision;
    if (report.verdict == attempt_verdict::timed_out)
        return;
    const bool hasNoAnswer
        = report.verdict == attempt_verdict::broken || report.verdict == attempt_verdict::unreachable;
    if (!hasNoAnswer) {
        upstream.consecutiveFailures = 0;
        upstream.lastAnswerAt = now;
        return;
    }
    if (upstream.consecutiveFailures++ == 0)
        upstream.coldUntilBeforeFailures = upstream.coldUntil;
    upstream.lastFailureAt = now;
    const bool isUnreachable = report.verdict == attempt_verdict::unreachable;
    if (isUnreachable || upstream.consecutiveFailures >= failuresBeforeBackOff) {
        upstream.backOffUntil = now + backOffAfter(upstream.consecutiveFailures);
        upstream.coldUntilByFailures = upstream.backOffUntil + microseconds(coldTime);
        upstream.coldUntil = std::max(upstream.coldUntil, upstream.coldUntilByFailures);
    }
}

void upstream_directory::forgetFailuresSince(monotonic_time since)
{
    for (auto& [name, upstream] : m_upstreams) {
        if (upstream.consecutiveFailures == 0 || upstream.lastFailureAt < since)
            continue;
        upstream.consecutiveFailures = 0;
        upstream.failureShare = 0;
        upstream.backOffUntil = {};
        if (upstream.coldUntil == upstream.coldUntilByFailures)
            upstream.coldUntil = upstream.coldUntilBeforeFailures;
    }
}

bool upstream_directory::recordLeaving(const upstream_id& name, std::uint64_t startedAtMs)
{
    const auto known = m_upstreams.find(name);
    if (known == m_upstreams.end() || known->second.registration.startedAtMs != startedAtMs)
        return false;
    const bool isFirst = !std::exchange(known->second.isLeaving, true);
    m_revision += isFirst ? 1 : 0;
    return isFirst;
}

const upstream_state* upstream_directory::find(const upstream_id& name) const
{
    const auto known = m_upstreams.find(name);
    return known == m_upstreams.end() ? nullptr : &known->second;
}

bool upstream_directory::isEligible(const upstream_state& upstream) const
{
    return !upstream.isLeaving && !upstream.isMisdirected && !m_evacuated.contains(upstream.registration.failureDomain);
}

const std::vector<const upstream_state*>& upstream_directory::ofService(const service_id& service) const
{
    static const std::vector<const upstream_state*> none;
    const auto known = m_byService.find(service);
    return known == m_byService.end() ? none : known->second;
}

} // namespace flamingoroute
