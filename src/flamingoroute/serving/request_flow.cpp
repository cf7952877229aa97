#include "flamingoroute/serving/request_flow.hpp"

#include "flamingoroute/proxy/client_connection.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/serving/attempt_limits.hpp"
#include "flamingoroute/serving/attempt_recorder.hpp"
#include "flamingoroute/serving/local_answer.hpp"
#include "flamingoroute/serving/near_instances.hpp"
#include "flamingoroute/serving/peer_attempt.hpp"
#include "flamingoroute/serving/request_admission.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/serving/upstream_answer.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Covers several round trips between two regions.
constexpr milliseconds connectTimeout { 500 };
/// A non-idempotent request reuses a connection only if that has been idle for at most this time.
constexpr milliseconds maxIdleTimeForNonIdempotent { 300 };
constexpr milliseconds maxIdleTime { 8000 };
/// Upstreams tried for one request, including unreachable ones.
constexpr int maxTries = 5;
/// An upstream without any answer for longer than this multiple of the expected time counts as unresponsive.
constexpr int unresponsiveFactor = 3;
constexpr milliseconds unresponsiveCheckInterval { 200 };
/// One in this many requests answered at the first try is logged at info level, the others at debug level. The sample
/// depends on the request id, so it is the same on each run.
constexpr std::uint64_t plainAnswersPerLogLine = 16;

} // namespace

request_flow::request_flow(serving_state& state, std::shared_ptr<caller_exchange> exchange, request_origin origin)
    : m_state(state)
    , m_exchange(std::move(exchange))
    , m_timer(state.loop)
    , m_origin(origin)
{
}

request_flow::~request_flow()
{
    m_state.openRequests.erase(this);
    answerAbandoned();
}

/// Answers the caller if an unexpected error ended the handling of its request.
void request_flow::answerAbandoned() noexcept
{
    if (m_isDone || !m_exchange)
        return;
    try {
        m_failureAnswer.reset();
        finishWithoutSuccess({ 502, "internal_error" }, { m_attempts > 0 ? 502 : 503, "internal_error" });
    } catch (const std::exception& problem) {
        event_line(log_level::error, "request.not_answered").with("detail", problem.what());
    }
}

void request_flow::endEarly()
{
    if (!m_isDone)
        onDeadline();
}

void request_flow::start()
{
    m_state.openRequests.emplace(this, weak_from_this());
    m_exchange->onDisconnect = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onDisconnect();
    };
    const bool isPartitioned = m_state.link.isPartitioned();
    if (isPartitioned && m_origin == request_origin::instance) {
        finish(notForwardedAnswer(), "not_forwarded");
        return;
    }
    if (const auto refusal = admit()) {
        refuse(*refusal);
        return;
    }
    armTimer();
    if (isPartitioned) {
        forward();
        return;
    }
    m_state.retries.recordRequest(m_request.query.service, m_state.members.size());
    attempt();
}

std::optional<local_refusal> request_flow::admit()
{
    const request_admission admission(m_state);
    const auto refusal = m_state.link.isPartitioned() ? admission.admitForwarded(*m_exchange, m_request)
                                                      : admission.admit(*m_exchange, m_request);
    if (refusal)
        return refusal;
    m_maxAttempts = m_request.rule->maxAttempts;
    if (m_origin == request_origin::instance)
        m_maxAttempts = attemptsLeftOf(m_exchange->request, m_maxAttempts);
    return std::nullopt;
}

selection request_flow::selectNext()
{
    const auto now = monotonicNow();
    m_request.query.objective = m_exchange->arrivedAt + microseconds(m_request.rule->objective) - now;
    m_request.query.timeLeft = m_request.deadline - now;
    return upstream_selector(m_state).select(m_request.query, now);
}

void request_flow::attempt()
{
    const bool isTooLate = m_request.deadline - monotonicNow() < minAttemptTime;
    const auto chosen = isTooLate ? selection {} : selectNext();
    if (chosen.reason == selection_reason::chosen) {
        send(chosen);
        return;
    }
    const bool isFull = chosen.reason == selection_reason::no_capacity;
    const auto retryAfter = isFull ? std::chrono::duration_cast<milliseconds>(chosen.wait) + retryAfterWithoutUpstream
                                   : retryAfterWithoutUpstream;
    finishWithoutSuccess(outcomeUnknown, { 503, isFull ? "no_capacity" : "no_healthy_upstream", retryAfter });
}

void request_flow::finishWithoutSuccess(const local_refusal& ifMayHaveRun, const local_refusal& ifNotRun)
{
    if (m_failureAnswer)
        finish(*m_failureAnswer, "upstream_failure");
    else if (m_origin == request_origin::instance && !m_mayHaveRun && m_state.link.isSuspect())
        finish(notForwardedAnswer(), "not_forwarded");
    else
        refuse(m_mayHaveRun ? ifMayHaveRun : ifNotRun);
}

http_request request_flow::upstreamRequest(const registered_upstream& upstream) const
{
    const auto& names = m_state.headers;
    http_request request = m_exchange->request;
    request.headers.clear();
    for (const auto& header : withoutCredentials(endToEndHeaders(m_exchange->request.headers))) {
        const bool isDropped = isSameHeaderName(header.name, names.remainingTime)
            || isSameHeaderName(header.name, names.customer) || isSameHeaderName(header.name, names.expectedUpstream)
            || (m_origin == request_origin::instance && isSameHeaderName(header.name, attemptsLeftHeader))
            || isSameHeaderName(header.name, "Expect");
        if (!isDropped)
            request.headers.push_back(header);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(m_request.deadline - monotonicNow());
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
    const auto arrivesAt = now + m_state.paths.to(upstream->region) / 2;
    m_sent = { upstream->registration, chosen, now, arrivesAt + chosen.wait };
    ++m_attempts;
    ++m_tries;
    m_request.query.tried.insert(chosen.upstream);
    if (m_mayHaveRun && m_request.customer != nullptr)
        m_state.rates.recordExtraAttempt(*m_request.customer, now);
    m_state.upstreams.recordSent(chosen.upstream, now);
    m_state.link.recordAttemptBegin(now);
    if (upstream->requestLimit)
        m_state.upstreams.takeLimitShare(chosen.upstream, limitShareFor(m_state, *upstream), now);
    if (chosen.isCold)
        m_state.cold.recordSent(chosen.upstream, now);
    m_state.shifts.record(upstream->region != m_state.settings.region, now);
    m_state.objects.record(upstream->nameHash, m_request.query.objectHash, now);
    if (m_request.customer != nullptr)
        m_state.usage.add(m_request.customer->name, m_sent.startsAt);
    m_connection = m_state.connections.acquire(
        m_sent.upstream, m_request.rule->isIdempotent ? maxIdleTime : maxIdleTimeForNonIdempotent);
    m_connection->exchange(upstreamRequest(m_sent.upstream), connectTimeout,
        [self = shared_from_this()](const exchange_result& result) { self->onResult(result); });
}

void request_flow::releaseConnection(attempt_verdict verdict)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (verdict == attempt_verdict::broken || verdict == attempt_verdict::unreachable)
        m_state.connections.dropIdle(m_sent.upstream.name);
    else if (connection)
        m_state.connections.release(m_sent.upstream, connection);
}

void request_flow::onResult(const exchange_result& result)
{
    const auto interpretation = interpretExchange(result, m_state.headers);
    ++m_state.counters.attempts[toString(interpretation.outcome)];
    attempt_recorder(m_state, m_request, m_sent).recordResult(result, interpretation);
    releaseConnection(interpretation.verdict);
    if (m_isDone)
        return;
    const auto now = monotonicNow();
    if (result.wasConnectionLost && interpretation.outcome == attempt_outcome::unknown) {
        const auto fingerprint = fingerprintOf(*m_exchange, m_request);
        if (m_state.quarantine.recordBroken(fingerprint, m_sent.upstream.name, microseconds(0), now)
            && m_state.reportBrokenConnection)
            m_state.reportBrokenConnection(fingerprint, m_sent.upstream.name);
    }
    if (interpretation.isDeliverable && !interpretation.isServerError) {
        if (!m_state.quarantine.empty())
            m_state.quarantine.recordAnswered(fingerprintOf(*m_exchange, m_request), now);
        m_state.counters.answerTime.add(now - m_exchange->arrivedAt);
        finish(result.answer, "answered");
        return;
    }
    if (interpretation.isDeliverable)
        m_failureAnswer = result.answer;
    m_mayHaveRun = m_mayHaveRun || !isDefinitelyNotRun(interpretation.outcome);
    if (!mayRetry(interpretation))
        stopRetrying(interpretation);
    else if (shouldForward())
        forward();
    else
        attempt();
}

bool request_flow::mayRetry(const upstream_answer& interpretation)
{
    const bool isRepeatable = m_request.rule->isIdempotent || isDefinitelyNotRun(interpretation.outcome);
    // An unreachable upstream has not received the request, so the next attempt is not a retry.
    if (interpretation.outcome == attempt_outcome::not_sent) {
        --m_attempts;
        return m_tries < maxTries;
    }
    if (!isRepeatable || m_attempts >= m_maxAttempts)
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

void request_flow::stopRetrying(const upstream_answer& interpretation)
{
    const std::string reason
        = interpretation.verdict == attempt_verdict::shed ? "upstream_full" : "no_healthy_upstream";
    finishWithoutSuccess(outcomeUnknown, { 503, reason, retryAfterWithoutUpstream });
}

void request_flow::armTimer()
{
    const auto now = monotonicNow();
    const auto next = std::min<monotonic_time>(m_request.deadline, now + unresponsiveCheckInterval);
    m_timer.expires_at(m_request.rule->isIdempotent ? next : m_request.deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        if (self && !cancelled && !self->m_isDone)
            self->onTimer();
    });
}

bool request_flow::isUpstreamUnresponsive(monotonic_time now) const
{
    const auto* upstream = m_state.upstreams.find(m_sent.upstream.name);
    const auto cold = m_state.times.of(*m_request.rule).cold;
    const bool isOverdue = now - m_sent.sentAt > unresponsiveFactor * std::max(cold, m_sent.chosen.expected);
    return m_connection && isOverdue && upstream != nullptr && upstream->lastAnswerAt < m_sent.sentAt;
}

void request_flow::onTimer()
{
    const auto now = monotonicNow();
    if (now >= m_request.deadline) {
        onDeadline();
        return;
    }
    const bool mayRetryElsewhere = m_request.rule->isIdempotent && m_attempts < m_maxAttempts && !m_state.isLeaving;
    if (mayRetryElsewhere && isUpstreamUnresponsive(now))
        retryElsewhere();
    if (!m_isDone)
        armTimer();
}

void request_flow::retryElsewhere()
{
    if (shouldForward()) {
        onPartition();
        return;
    }
    const auto next = selectNext();
    // The unresponsive upstream may still answer, so the attempt goes on if no other upstream can be tried.
    if (next.reason != selection_reason::chosen || !takeRetry())
        return;
    cancelAttempt(attempt_verdict::broken);
    send(next);
}

void request_flow::cancelAttempt(attempt_verdict verdict)
{
    if (m_peerAttempt) {
        m_mayHaveRun = m_mayHaveRun || m_peerAttempt->hasSent();
        m_peerAttempt.reset();
    }
    if (!m_connection)
        return;
    const bool hasSent = m_connection->hasSent();
    m_mayHaveRun = m_mayHaveRun || hasSent;
    m_connection->cancel();
    attempt_recorder(m_state, m_request, m_sent).recordCancelled(verdict, hasSent);
    releaseConnection(verdict);
}

void request_flow::onDeadline()
{
    cancelAttempt(attempt_verdict::timed_out);
    finishWithoutSuccess({ 504, "timeout" }, { 503, "deadline_passed" });
}

void request_flow::onDisconnect()
{
    if (m_isDone)
        return;
    m_isDone = true;
    m_timer.cancel();
    cancelAttempt(attempt_verdict::abandoned);
    ++m_state.counters.decisions["caller_gone"];
    log("caller_gone", 0);
}

void request_flow::refuse(const local_refusal& refusal)
{
    finish(localAnswer(refusal.status, refusal.reason, refusal.retryAfter), refusal.reason);
}

void request_flow::finish(caller_answer answer, const std::string& decision)
{
    m_isDone = true;
    m_timer.cancel();
    ++m_state.counters.decisions[decision];
    log(decision, answer.status);
    const auto exchange = std::exchange(m_exchange, nullptr);
    exchange->onDisconnect = nullptr;
    exchange->answer(std::move(answer), m_state.isLeaving);
}

void request_flow::log(const std::string& decision, int status) const
{
    const bool isPlain = decision == "answered" && m_tries == 1;
    const bool isSampled = hash64(m_request.id) % plainAnswersPerLogLine == 0;
    event_line line(isPlain && !isSampled ? log_level::debug : log_level::info, "request");
    line.with("decision", decision).with("request", m_request.id).with("status", status);
    if (m_request.rule != nullptr)
        line.with("rule", m_request.rule->name).with("version", m_request.table->version());
    if (m_request.customer != nullptr)
        line.with("customer", m_request.customer->name.value());
    const auto& object = headerValue(m_exchange->request.headers, m_state.headers.objectKey);
    if (!object.empty())
        line.with("object", object);
    if (!m_forwardedTo.empty())
        line.with("forwarded_to", m_forwardedTo.back().value());
    if (m_origin == request_origin::instance)
        line.with("forwarded", 1);
    if (m_attempts > 0)
        line.with("attempts", m_attempts)
            .with("upstream", m_sent.upstream.name.value())
            .with("warm", m_sent.chosen.isKnownWarm ? 1 : 0);
    line.with("elapsed_us", (monotonicNow() - m_exchange->arrivedAt).count());
    line.with("expected_us", m_sent.chosen.expected.count()).with("wait_us", m_sent.chosen.wait.count());
}

} // namespace flamingoroute
