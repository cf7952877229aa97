#include "flamingoroute/serving/request_flow.hpp"

#include "flamingoroute/proxy/client_connection.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/serving/own_answer.hpp"
#include "flamingoroute/serving/request_admission.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/serving/upstream_answer.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Covers a path between two regions there and back several times.
constexpr milliseconds connectTimeout { 500 };
/// An unrepeatable request goes on a connection that answered this short a time ago, else on a new one.
constexpr milliseconds longestIdleForUnrepeatable { 300 };
constexpr milliseconds longestIdle { 8000 };
/// Upstreams tried for one request, those that could not be reached included.
constexpr int mostTries = 5;
/// An attempt is not worth making with less time than this.
constexpr microseconds leastAttemptTime { 20'000 };
/// An upstream that says nothing at all for this many times the expected time is taken for silent.
constexpr int silenceFactor = 3;
constexpr milliseconds silenceCheck { 200 };
/// An answer that takes this many times the time of a cold object counts as slow.
constexpr double slowFactor = 3.0;
constexpr milliseconds retryAfterWithoutUpstream { 300 };
/// Of the answers that took one attempt, the log shows one in this many; the same ones on each run.
constexpr std::uint64_t plainAnswersPerLine = 16;

const own_refusal outcomeUnknown { 502, "upstream_outcome_unknown" };

} // namespace

request_flow::request_flow(serving_state& state, std::shared_ptr<caller_exchange> exchange)
    : m_state(state)
    , m_exchange(std::move(exchange))
    , m_timer(state.loop)
{
}

request_flow::~request_flow() { m_state.openRequests.erase(this); }

void request_flow::endEarly()
{
    if (!m_isDone)
        onTimeLimit();
}

void request_flow::start()
{
    m_state.openRequests.emplace(this, weak_from_this());
    m_exchange->onGone = [self = shared_from_this()] { self->onGone(); };
    if (const auto refusal = request_admission(m_state).admit(*m_exchange, m_request)) {
        refuse(*refusal);
        return;
    }
    m_state.retries.noteRequest(m_request.query.service, m_state.members.size());
    armTimer();
    attempt();
}

selection request_flow::selectNext()
{
    const auto now = monotonicNow();
    m_request.query.objective = m_exchange->arrivedAt + microseconds(m_request.rule->objective) - now;
    m_request.query.timeLeft = m_request.limit - now;
    return upstream_selector(m_state).select(m_request.query, now);
}

void request_flow::attempt()
{
    const bool isTooLate = m_request.limit - monotonicNow() < leastAttemptTime;
    const auto chosen = isTooLate ? selection {} : selectNext();
    if (chosen.reason == selection_reason::chosen) {
        send(chosen);
        return;
    }
    const bool isFull = chosen.reason == selection_reason::no_room;
    const auto retryAfter = isFull ? std::chrono::duration_cast<milliseconds>(chosen.wait) + retryAfterWithoutUpstream
                                   : retryAfterWithoutUpstream;
    endUnanswered(outcomeUnknown, { 503, isFull ? "no_capacity" : "no_healthy_upstream", retryAfter });
}

void request_flow::endUnanswered(const own_refusal& ifMayHaveRun, const own_refusal& ifNotRun)
{
    if (m_failureAnswer)
        finish(*m_failureAnswer, "upstream_failure");
    else
        refuse(m_mayHaveRun ? ifMayHaveRun : ifNotRun);
}

http_request request_flow::outgoing(const listed_upstream& upstream) const
{
    const auto& names = m_state.headers;
    http_request request = m_exchange->request;
    request.headers.clear();
    for (const auto& header : withoutCredentials(endToEndHeaders(m_exchange->request.headers))) {
        const bool isOurs = isSameHeaderName(header.name, names.remainingTime)
            || isSameHeaderName(header.name, names.customer) || isSameHeaderName(header.name, names.expectedUpstream)
            || isSameHeaderName(header.name, "Expect");
        if (!isOurs)
            request.headers.push_back(header);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(m_request.limit - monotonicNow());
    request.headers.push_back({ names.remainingTime, std::to_string(std::max<std::int64_t>(1, left.count())) });
    request.headers.push_back({ names.expectedUpstream, upstream.name.value() });
    if (m_request.customer != nullptr)
        request.headers.push_back({ names.customer, m_request.customer->name.value() });
    return request;
}

void request_flow::send(const selection& chosen)
{
    const auto now = monotonicNow();
    const auto* upstream = m_state.upstreams.find(chosen.upstream);
    m_chosen = chosen;
    m_upstream = upstream->listed;
    m_sentAt = now;
    ++m_attempts;
    ++m_tries;
    m_request.query.tried.insert(chosen.upstream);
    if (m_mayHaveRun && m_request.customer != nullptr)
        m_state.rates.noteRepeat(*m_request.customer, now);
    m_state.upstreams.noteSent(chosen.upstream);
    if (chosen.isCold)
        m_state.cold.take(chosen.upstream, now);
    m_state.shifts.note(upstream->region != m_state.settings.region, now);
    m_state.objects.note(chosen.upstream, m_request.query.objectHash, now);
    m_connection
        = m_state.links.take(m_upstream, m_request.rule->isIdempotent ? longestIdle : longestIdleForUnrepeatable);
    m_connection->exchange(outgoing(m_upstream), connectTimeout,
        [self = shared_from_this()](const exchange_result& result) { self->onResult(result); });
}

double request_flow::timeRatio() const
{
    const auto elapsed = static_cast<double>((monotonicNow() - m_sentAt).count());
    const double ratio = elapsed / static_cast<double>(std::max<std::int64_t>(1, m_chosen.baseline.count()));
    // An upstream that was fast without being known to have the object at hand just had it.
    return m_chosen.isKnownWarm ? ratio : std::max(1.0, ratio);
}

attempt_report request_flow::reportOf(const exchange_result& result, const upstream_answer& meaning) const
{
    attempt_report report;
    report.verdict = meaning.verdict;
    if (result.outcome != attempt_outcome::answered)
        return report;
    report.load = loadIn(result.answer, m_state.headers);
    report.coldFor = coldIn(result.answer, m_state.headers);
    if (meaning.verdict == attempt_verdict::served)
        report.timeRatio = timeRatio();
    return report;
}

void request_flow::endAttempt(const attempt_report& report)
{
    const auto* policy = m_request.table->findService(m_request.query.service);
    const auto coldTime = policy == nullptr ? milliseconds(0) : policy->coldTime;
    m_state.upstreams.noteEnded(m_upstream.name, report, coldTime, monotonicNow());
    const auto connection = std::exchange(m_connection, nullptr);
    if (report.verdict == attempt_verdict::broken || report.verdict == attempt_verdict::unreachable)
        m_state.links.dropIdle(m_upstream.name);
    else if (connection)
        m_state.links.giveBack(m_upstream, connection);
}

void request_flow::learn(const exchange_result& result, const upstream_answer& meaning)
{
    const auto* upstream = m_state.upstreams.find(m_upstream.name);
    if (result.connectTime > microseconds(0) && upstream != nullptr)
        m_state.paths.learn(upstream->region, result.connectTime);
    const auto pathDelay = upstream == nullptr ? microseconds(0) : m_state.paths.to(upstream->region);
    const auto taken = std::max(microseconds(0), monotonicNow() - m_sentAt - result.connectTime - pathDelay);
    const bool isTypical
        = meaning.verdict == attempt_verdict::served && m_chosen.wait == microseconds(0) && !m_chosen.isCold;
    if (isTypical)
        m_state.times.learn(*m_request.rule, taken, m_chosen.isKnownWarm || !m_request.rule->isSticky);
    const auto cold = m_state.times.of(*m_request.rule).cold;
    const bool isSlow = static_cast<double>(taken.count()) > slowFactor * static_cast<double>(cold.count());
    const bool isCounted = meaning.verdict != attempt_verdict::shed && meaning.verdict != attempt_verdict::misdirected;
    if (!isCounted)
        return;
    const bool isFailed = meaning.verdict != attempt_verdict::served;
    noteVersion(isFailed ? version_sample::failed : (isSlow ? version_sample::slow : version_sample::good));
}

void request_flow::noteVersion(version_sample sample)
{
    const bool isNews = m_state.versions.noteAttempt(m_request.query.service, m_upstream.version, sample);
    if (isNews && m_state.reportSoon)
        m_state.reportSoon();
}

void request_flow::onResult(const exchange_result& result)
{
    const auto meaning = interpret(result, m_state.headers);
    ++m_state.counters.attempts[toString(meaning.outcome)];
    learn(result, meaning);
    endAttempt(reportOf(result, meaning));
    if (m_isDone)
        return;
    const auto now = monotonicNow();
    if (result.wasCutOff && meaning.outcome == attempt_outcome::unknown) {
        const auto print = fingerprintOf(*m_exchange, m_request);
        if (m_state.quarantine.recordBroken(print, m_upstream.name, microseconds(0), now) && m_state.announceBroken)
            m_state.announceBroken(print, m_upstream.name);
    }
    if (meaning.isDeliverable && !meaning.isFailure) {
        if (!m_state.quarantine.empty())
            m_state.quarantine.recordAnswered(fingerprintOf(*m_exchange, m_request), now);
        m_state.counters.answerTime.add(now - m_exchange->arrivedAt);
        finish(result.answer, "answered");
        return;
    }
    if (meaning.isDeliverable)
        m_failureAnswer = result.answer;
    m_mayHaveRun = m_mayHaveRun || !isDefinitelyNotRun(meaning.outcome);
    if (mayRetry(meaning))
        attempt();
    else
        giveUp(meaning);
}

bool request_flow::mayRetry(const upstream_answer& meaning)
{
    const bool isRepeatable = m_request.rule->isIdempotent || isDefinitelyNotRun(meaning.outcome);
    // An upstream that was not reached has not seen the request, so the next one is no repetition.
    if (meaning.outcome == attempt_outcome::not_sent) {
        --m_attempts;
        return m_tries < mostTries;
    }
    if (!isRepeatable || m_attempts >= m_request.rule->maxAttempts)
        return false;
    if (!m_state.quarantine.empty()
        && m_state.quarantine.quarantinedFor(fingerprintOf(*m_exchange, m_request), monotonicNow()))
        return false;
    return takeRetry();
}

bool request_flow::takeRetry()
{
    const bool isTaken = m_state.retries.takeRetry(m_request.query.service, m_state.members.size());
    m_state.counters.retries += isTaken ? 1 : 0;
    return isTaken;
}

void request_flow::giveUp(const upstream_answer& meaning)
{
    const std::string reason = meaning.verdict == attempt_verdict::shed ? "upstream_full" : "no_healthy_upstream";
    endUnanswered(outcomeUnknown, { 503, reason, retryAfterWithoutUpstream });
}

void request_flow::armTimer()
{
    const auto now = monotonicNow();
    const auto next = std::min<monotonic_time>(m_request.limit, now + silenceCheck);
    m_timer.expires_at(m_request.rule->isIdempotent ? next : m_request.limit);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        if (self && !cancelled && !self->m_isDone)
            self->onTimer();
    });
}

bool request_flow::isUpstreamSilent(monotonic_time now) const
{
    const auto* upstream = m_state.upstreams.find(m_upstream.name);
    const auto cold = m_state.times.of(*m_request.rule).cold;
    const bool isOverdue = now - m_sentAt > silenceFactor * std::max(cold, m_chosen.expected);
    return m_connection && isOverdue && upstream != nullptr && upstream->lastAnswerAt < m_sentAt;
}

void request_flow::onTimer()
{
    const auto now = monotonicNow();
    if (now >= m_request.limit) {
        onTimeLimit();
        return;
    }
    const bool mayMove = m_request.rule->isIdempotent && m_attempts < m_request.rule->maxAttempts && !m_state.isLeaving;
    if (mayMove && isUpstreamSilent(now))
        moveOn();
    if (!m_isDone)
        armTimer();
}

void request_flow::moveOn()
{
    const auto next = selectNext();
    // The silent upstream may still answer; without another one it is waited for.
    if (next.reason != selection_reason::chosen || !takeRetry())
        return;
    abandonAttempt(attempt_verdict::broken);
    send(next);
}

void request_flow::abandonAttempt(attempt_verdict verdict)
{
    if (!m_connection)
        return;
    m_mayHaveRun = m_mayHaveRun || m_connection->hasSent();
    m_connection->abandon();
    attempt_report report;
    report.verdict = verdict;
    // It would have taken longer still, but how much is not known.
    const double ratio = timeRatio();
    if (ratio > 1) {
        report.verdict = verdict == attempt_verdict::abandoned ? attempt_verdict::timed_out : verdict;
        report.timeRatio = ratio;
    }
    if (ratio > slowFactor)
        noteVersion(version_sample::slow);
    endAttempt(report);
}

void request_flow::onTimeLimit()
{
    abandonAttempt(attempt_verdict::timed_out);
    endUnanswered({ 504, "timeout" }, { 503, "deadline_passed" });
}

void request_flow::onGone()
{
    if (m_isDone)
        return;
    m_isDone = true;
    m_timer.cancel();
    abandonAttempt(attempt_verdict::abandoned);
    ++m_state.counters.decisions["caller_gone"];
    log("caller_gone", 0);
}

void request_flow::refuse(const own_refusal& refusal)
{
    finish(ownAnswer(refusal.status, refusal.reason, refusal.retryAfter), refusal.reason);
}

void request_flow::finish(caller_answer answer, const std::string& decision)
{
    m_isDone = true;
    m_timer.cancel();
    ++m_state.counters.decisions[decision];
    log(decision, answer.status);
    const auto exchange = std::exchange(m_exchange, nullptr);
    exchange->onGone = nullptr;
    exchange->answer(std::move(answer), m_state.isLeaving);
}

void request_flow::log(const std::string& decision, int status) const
{
    const bool isPlain = decision == "answered" && m_tries == 1;
    const bool isSampled = hash64(m_request.id) % plainAnswersPerLine == 0;
    event_line line(isPlain && !isSampled ? log_level::debug : log_level::info, "request");
    line.with("decision", decision).with("request", m_request.id).with("status", status);
    if (m_request.rule != nullptr)
        line.with("rule", m_request.rule->name).with("version", m_request.table->version());
    if (m_request.customer != nullptr)
        line.with("customer", m_request.customer->name.value());
    const auto& object = headerValue(m_exchange->request.headers, m_state.headers.objectKey);
    if (!object.empty())
        line.with("object", object);
    if (m_attempts > 0)
        line.with("attempts", m_attempts)
            .with("upstream", m_upstream.name.value())
            .with("warm", m_chosen.isKnownWarm ? 1 : 0);
    line.with("elapsed_us", (monotonicNow() - m_exchange->arrivedAt).count());
    line.with("expected_us", m_chosen.expected.count()).with("wait_us", m_chosen.wait.count());
}

} // namespace flamingoroute
