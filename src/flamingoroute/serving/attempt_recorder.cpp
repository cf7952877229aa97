#include "flamingoroute/serving/attempt_recorder.hpp"

#include "flamingoroute/proxy/exchange_result.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/serving/admitted_request.hpp"
#include "flamingoroute/serving/near_instances.hpp"
#include "flamingoroute/serving/sent_attempt.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/serving/upstream_answer.hpp"
#include "flamingoroute/serving/version_sampling.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace flamingoroute {

namespace {

std::uint16_t requestsIn(const reported_load& load)
{
    constexpr int maxRequests = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(maxRequests, load.running + load.waiting));
}

} // namespace

attempt_recorder::attempt_recorder(serving_state& state, const admitted_request& request, const sent_attempt& sent)
    : m_state(state)
    , m_request(request)
    , m_sent(sent)
{
}

void attempt_recorder::recordResult(const exchange_result& result, const upstream_answer& interpretation) const
{
    recordLink(result);
    updateEstimates(result, interpretation);
    if (isDefinitelyNotRun(interpretation.outcome))
        takeBackUsage();
    else if (result.connectTime > microseconds(0))
        moveUsage(result.connectTime);
    recordReport(reportOf(result, interpretation));
    if (interpretation.isUpstreamLeaving)
        recordLeaving();
}

void attempt_recorder::recordLink(const exchange_result& result) const
{
    auto& link = m_state.link;
    link.recordAttemptEnd();
    if (result.connectTime > microseconds(0))
        link.recordConnected(monotonicNow());
    if (result.outcome == attempt_outcome::answered)
        link.recordAnswer(monotonicNow());
    else if (result.isConnectFailure)
        link.recordUnreachable(m_sent.upstream.name);
    else if (result.wasConnectionLost)
        link.recordLost(m_sent.upstream.name);
}

void attempt_recorder::takeBackUsage() const
{
    if (m_request.customer != nullptr)
        m_state.usage.takeBack(m_request.customer->name, m_sent.startsAt);
}

void attempt_recorder::moveUsage(microseconds later) const
{
    if (m_request.customer == nullptr)
        return;
    takeBackUsage();
    m_state.usage.add(m_request.customer->name, m_sent.startsAt + later);
}

void attempt_recorder::recordCancelled(attempt_verdict verdict, bool hasSent) const
{
    m_state.link.recordAttemptEnd();
    // An upstream drops a waiting request whose connection closes.
    if (!hasSent || m_sent.startsAt > monotonicNow())
        takeBackUsage();
    attempt_report report;
    report.verdict = verdict;
    // The elapsed time is a lower bound: the answer would have taken longer, but it is unknown how much.
    const double ratio = timeRatio();
    if (ratio > 1) {
        report.verdict = verdict == attempt_verdict::abandoned ? attempt_verdict::timed_out : verdict;
        report.timeRatio = ratio;
    }
    // The connection of an unresponsive upstream was not lost: its answer is late.
    const auto shown = verdict == attempt_verdict::broken ? attempt_verdict::timed_out : verdict;
    recordVersionSample(
        { shown, 0, expectedRatioOf(monotonicNow() - m_sent.sentAt), m_sent.chosen.isCold, isUpstreamFull() });
    recordReport(report);
}

double attempt_recorder::timeRatio() const
{
    const auto elapsed = static_cast<double>((monotonicNow() - m_sent.sentAt).count());
    const double ratio = elapsed / static_cast<double>(std::max<std::int64_t>(1, m_sent.chosen.baseline.count()));
    // An upstream that was fast without being known as warm had the object cached; it is not a faster upstream.
    return m_sent.chosen.isKnownWarm ? ratio : std::max(1.0, ratio);
}

double attempt_recorder::expectedRatioOf(microseconds taken) const
{
    // The smallest time in which an upstream usually answers for an object that it has not cached.
    constexpr double minColdRatio = 0.6;
    const auto times = m_state.times.of(*m_request.rule);
    const auto ratioTo = [&](microseconds expected) {
        return static_cast<double>(taken.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    };
    const bool isCached = m_sent.chosen.isKnownWarm || !m_request.rule->isSticky || ratioTo(times.cold) < minColdRatio;
    return ratioTo(isCached ? times.warm : times.cold);
}

bool attempt_recorder::isUpstreamFull() const
{
    const auto* upstream = m_state.upstreams.find(m_sent.upstream.name);
    const bool isFullNow
        = upstream != nullptr && estimatedLoad(*upstream, monotonicNow()) >= upstream->registration.slots;
    return m_sent.chosen.wait > microseconds(0) || isFullNow;
}

attempt_report attempt_recorder::reportOf(const exchange_result& result, const upstream_answer& interpretation) const
{
    attempt_report report;
    report.verdict = interpretation.verdict;
    if (result.outcome != attempt_outcome::answered)
        return report;
    report.load = parseLoad(result.answer, m_state.headers);
    report.requestLimit = parseRequestLimit(result.answer, m_state.headers);
    if (interpretation.verdict != attempt_verdict::misdirected)
        report.pause = parsePause(result.answer);
    report.remainingColdTime = parseColdTime(result.answer, m_state.headers);
    if (interpretation.verdict == attempt_verdict::served)
        report.timeRatio = timeRatio();
    return report;
}

void attempt_recorder::recordReport(const attempt_report& report) const
{
    const auto* policy = m_request.table->findService(m_request.query.service);
    const auto coldTime = policy == nullptr ? milliseconds(0) : policy->coldTime;
    if (report.pause)
        event_line(log_level::info, "upstream.paused")
            .with("upstream", m_sent.upstream.name.value())
            .with("for_ms", report.pause->count())
            .with("request", m_request.id);
    const auto now = monotonicNow();
    const auto limitBefore = requestLimit();
    m_state.upstreams.recordResult(m_sent.upstream.name, report, coldTime, now);
    if (report.load && m_state.members.usesRelays())
        m_state.measuredLoads.record(
            { upstreamHash(hash64(m_sent.upstream.name.value())), requestsIn(*report.load), 0 }, now);
    if (requestLimit() == limitBefore)
        return;
    if (!limitBefore) // the request that revealed the limit counts against it
        m_state.upstreams.takeLimitShare(
            m_sent.upstream.name, limitShareFor(m_state, *m_state.upstreams.find(m_sent.upstream.name)), now);
    event_line(log_level::info, "upstream.limit")
        .with("upstream", m_sent.upstream.name.value())
        .with("before_per_s", limitBefore ? std::to_string(*limitBefore) : "none")
        .with("limit_per_s", requestLimit() ? std::to_string(*requestLimit()) : "none")
        .with("request", m_request.id);
}

std::optional<double> attempt_recorder::requestLimit() const
{
    const auto* upstream = m_state.upstreams.find(m_sent.upstream.name);
    return upstream == nullptr ? std::nullopt : upstream->requestLimit;
}

void attempt_recorder::recordLeaving() const
{
    if (!m_state.upstreams.recordLeaving(m_sent.upstream.name, m_sent.upstream.startedAtMs))
        return;
    event_line(log_level::info, "upstream.leaving")
        .with("upstream", m_sent.upstream.name.value())
        .with("started_at_ms", m_sent.upstream.startedAtMs)
        .with("request", m_request.id);
}

void attempt_recorder::updateEstimates(const exchange_result& result, const upstream_answer& interpretation) const
{
    const auto* upstream = m_state.upstreams.find(m_sent.upstream.name);
    if (result.connectTime > microseconds(0) && upstream != nullptr)
        m_state.paths.update(upstream->region, result.connectTime);
    const auto pathDelay = upstream == nullptr ? microseconds(0) : m_state.paths.to(upstream->region);
    const auto taken = std::max(microseconds(0), monotonicNow() - m_sent.sentAt - result.connectTime - pathDelay);
    const bool isTypical = interpretation.verdict == attempt_verdict::served && m_sent.chosen.wait == microseconds(0)
        && !m_sent.chosen.isCold;
    if (isTypical)
        m_state.times.update(*m_request.rule, taken, m_sent.chosen.isKnownWarm || !m_request.rule->isSticky);
    const auto load = parseLoad(result.answer, m_state.headers);
    const bool isReportedFull = load && load->running + load->waiting >= load->slots;
    recordVersionSample({ interpretation.verdict, result.answer.status, expectedRatioOf(taken), m_sent.chosen.isCold,
        isReportedFull || isUpstreamFull() });
}

void attempt_recorder::recordVersionSample(const attempt_evidence& evidence) const
{
    const bool hasNoAnswer = evidence.verdict == attempt_verdict::broken
        || evidence.verdict == attempt_verdict::unreachable || evidence.verdict == attempt_verdict::timed_out;
    if (hasNoAnswer && m_state.link.isSuspect())
        return;
    const auto sample = versionSampleOf(evidence);
    const bool isAgainstVersion = sample
        && m_state.versions.recordAttempt(
            m_request.query.service, m_sent.upstream.version, *sample, hash64(m_sent.upstream.name.value()));
    if (!isAgainstVersion)
        return;
    event_line(log_level::info, "version_order.against")
        .with("request", m_request.id)
        .with("rule", m_request.rule->name)
        .with("upstream", m_sent.upstream.name.value())
        .with("status", evidence.status)
        .with("time_percent", static_cast<std::int64_t>(100 * evidence.timeRatio))
        .with("cached", m_sent.chosen.isKnownWarm ? 1 : 0);
    if (m_state.reportSoon)
        m_state.reportSoon();
}

} // namespace flamingoroute
