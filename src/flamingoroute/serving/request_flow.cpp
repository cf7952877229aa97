#include "flamingoroute/serving/request_flow.hpp"

#include "flamingoroute/proxy/client_connection.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/requests/request_hash.hpp"
#include "flamingoroute/serving/own_answer.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/serving/upstream_answer.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// A request without a deadline waits no longer than this.
constexpr milliseconds longestDeadline { 60000 };
/// Covers a path between two regions there and back several times.
constexpr milliseconds connectTimeout { 500 };
/// An unrepeatable request goes on a connection that answered this short a time ago, else on a new one.
constexpr milliseconds longestIdleForUnrepeatable { 300 };
constexpr milliseconds longestIdle { 8000 };
/// An attempt is not worth making with less time than this.
constexpr int mostTries = 5;
constexpr microseconds leastAttemptTime { 20'000 };
/// An upstream that says nothing at all for this many times the expected time is taken for silent.
constexpr int silenceFactor = 3;
constexpr milliseconds silenceCheck { 200 };
/// An answer that takes this many times the time of a cold object counts as slow.
constexpr double slowFactor = 3.0;
constexpr milliseconds retryAfterWithoutUpstream { 300 };
constexpr milliseconds retryAfterBeforeConfiguration { 500 };
/// The highest rank may wait for most of its objective, the others leave room for it.
constexpr double patienceOfFirst = 0.8;
constexpr double patienceOfOthers = 0.5;
constexpr int firstRanks = 1;
/// Of the answers that took one attempt, the log shows one in this many; the same ones on each run.
constexpr std::uint64_t plainAnswersPerLine = 16;

std::string bearerKey(const std::vector<http_header>& headers)
{
    const std::string scheme = "Bearer ";
    const std::string value = headerValue(headers, "Authorization");
    return value.rfind(scheme, 0) == 0 ? value.substr(scheme.size()) : std::string();
}

/// @return the regions in both lists; an empty list stands for all regions
std::optional<std::set<region_id>> commonHomes(const std::vector<region_id>& left, const std::vector<region_id>& right)
{
    if (left.empty() && right.empty())
        return std::nullopt;
    const auto& first = left.empty() ? right : left;
    const auto& second = right.empty() ? left : right;
    std::set<region_id> common;
    for (const auto& region : first) {
        if (std::find(second.begin(), second.end(), region) != second.end())
            common.insert(region);
    }
    return common;
}

service_id serviceFor(const routing_rule& rule, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const auto& share : rule.shares)
        total += static_cast<std::uint64_t>(std::max(0, share.weight));
    if (total == 0)
        return rule.shares.front().service;
    std::uint64_t place = mix64(requestHash) % total;
    for (const auto& share : rule.shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(0, share.weight));
        if (place < weight)
            return share.service;
        place -= weight;
    }
    return rule.shares.back().service;
}

} // namespace

request_flow::request_flow(serving_state& state, std::shared_ptr<caller_exchange> exchange)
    : m_state(state)
    , m_exchange(std::move(exchange))
    , m_table(state.table)
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
    if (!isWellFormed() || !findRule() || !authenticate() || !setTimeLimits() || !passesQuarantine() || !passesRate())
        return;
    describeQuery();
    m_state.retries.noteRequest(m_query.service, m_state.members.size());
    armTimer();
    attempt();
}

bool request_flow::isWellFormed()
{
    const auto& headers = m_exchange->request.headers;
    m_requestId = headerValue(headers, m_state.headers.requestId);
    if (headerValue(headers, "Host").empty()) {
        refuse(400, "missing_host");
        return false;
    }
    if (m_requestId.empty()) {
        refuse(400, "missing_request_id");
        return false;
    }
    return true;
}

bool request_flow::findRule()
{
    if (!m_table) {
        refuse(503, "not_ready", retryAfterBeforeConfiguration);
        return false;
    }
    m_rule = m_table->findRule(headerValue(m_exchange->request.headers, "Host"), m_exchange->request.target);
    if (m_rule == nullptr)
        refuse(404, "unknown_route");
    return m_rule != nullptr;
}

bool request_flow::authenticate()
{
    const std::string key = bearerKey(m_exchange->request.headers);
    if (!key.empty())
        m_customer = m_table->findCustomer(key);
    const bool isOpen = m_rule->isPublic || m_table->source().customers.empty();
    if (m_customer == nullptr && !isOpen)
        refuse(401, "wrong_key");
    return m_customer != nullptr || isOpen;
}

bool request_flow::setTimeLimits()
{
    const auto& request = m_exchange->request;
    const auto waits = millisecondsIn(headerValue(request.headers, m_state.headers.remainingTime), longestDeadline);
    m_callerDeadline = m_exchange->arrivedAt + std::min(waits, longestDeadline);
    const auto timeout = m_rule->timeout > milliseconds(0) ? m_rule->timeout : longestDeadline;
    m_limit = std::min(m_callerDeadline, m_exchange->arrivedAt + timeout);
    if (waits > milliseconds(0))
        return true;
    refuse(503, "deadline_passed");
    return false;
}

std::string request_flow::fingerprint() const
{
    const auto& request = m_exchange->request;
    const std::string customer = m_customer == nullptr ? std::string() : m_customer->name.value();
    return hashOf({ m_rule->host, request.method, request.target, customer, request.body });
}

bool request_flow::passesQuarantine()
{
    if (m_state.quarantine.empty())
        return true;
    const auto held = m_state.quarantine.quarantinedFor(fingerprint(), monotonicNow());
    if (held)
        refuse(503, "quarantined");
    return !held;
}

bool request_flow::passesRate()
{
    if (m_customer == nullptr)
        return true;
    const auto now = monotonicNow();
    const auto view = m_state.members.demandFor(m_customer->name, now);
    const auto wait = m_state.rates.admit(*m_customer, view, now);
    const bool isLimited = m_customer->ratePerSecond > 0;
    if (isLimited && m_state.reportSoon && m_state.rates.hasRisen(m_customer->name, view.ownAdmitted, now))
        m_state.reportSoon();
    if (wait > milliseconds(0))
        refuse(429, "over_rate", wait);
    return wait <= milliseconds(0);
}

void request_flow::describeQuery()
{
    const std::string object = headerValue(m_exchange->request.headers, m_state.headers.objectKey);
    m_query.rule = m_rule;
    m_query.requestHash = hash64(m_requestId);
    m_query.service = serviceFor(*m_rule, m_query.requestHash);
    m_query.homes = commonHomes(m_rule->homes, m_customer == nullptr ? std::vector<region_id>() : m_customer->homes);
    const bool hasObject = m_rule->isSticky && !object.empty();
    m_query.objectHash = hasObject ? hash64(m_rule->name + "\n" + object) : m_query.requestHash;
    const int rank = m_customer != nullptr && m_customer->rank >= 0 ? m_customer->rank : m_rule->rank;
    m_query.patience = rank <= firstRanks ? patienceOfFirst : patienceOfOthers;
}

void request_flow::attempt()
{
    const auto now = monotonicNow();
    m_query.objective = m_exchange->arrivedAt + microseconds(m_rule->objective) - now;
    m_query.timeLeft = m_limit - now;
    const upstream_selector selector(m_state);
    const auto chosen = m_query.timeLeft < leastAttemptTime ? selection {} : selector.select(m_query, now);
    if (chosen.reason == selection_reason::chosen) {
        send(chosen);
        return;
    }
    if (m_failureAnswer) {
        finish(*m_failureAnswer, "upstream_failure");
        return;
    }
    if (m_mayHaveRun) {
        refuse(502, "upstream_outcome_unknown");
        return;
    }
    const bool isFull = chosen.reason == selection_reason::no_room;
    const auto retryAfter = isFull ? std::chrono::duration_cast<milliseconds>(chosen.wait) + retryAfterWithoutUpstream
                                   : retryAfterWithoutUpstream;
    refuse(503, isFull ? "no_capacity" : "no_healthy_upstream", retryAfter);
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
    const auto left = std::chrono::duration_cast<milliseconds>(m_limit - monotonicNow());
    request.headers.push_back({ names.remainingTime, std::to_string(std::max<std::int64_t>(1, left.count())) });
    request.headers.push_back({ names.expectedUpstream, upstream.name.value() });
    if (m_customer != nullptr)
        request.headers.push_back({ names.customer, m_customer->name.value() });
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
    m_query.tried.insert(chosen.upstream);
    m_state.upstreams.noteSent(chosen.upstream);
    if (chosen.isCold)
        m_state.cold.take(chosen.upstream, now);
    m_state.shifts.note(upstream->region != m_state.settings.region, now);
    m_state.objects.note(chosen.upstream, m_query.objectHash, now);
    m_connection = m_state.links.take(m_upstream, m_rule->isIdempotent ? longestIdle : longestIdleForUnrepeatable);
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
    const auto* policy = m_table->findService(m_query.service);
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
        m_state.times.learn(*m_rule, taken, m_chosen.isKnownWarm || !m_rule->isSticky);
    const auto cold = m_state.times.of(*m_rule).cold;
    const bool isSlow = static_cast<double>(taken.count()) > slowFactor * static_cast<double>(cold.count());
    const bool isCounted = meaning.verdict != attempt_verdict::shed && meaning.verdict != attempt_verdict::misdirected;
    if (!isCounted)
        return;
    const bool isFailed = meaning.verdict != attempt_verdict::served;
    noteVersion(isFailed ? version_sample::failed : (isSlow ? version_sample::slow : version_sample::good));
}

void request_flow::noteVersion(version_sample sample)
{
    const bool isNews = m_state.versions.noteAttempt(m_query.service, m_upstream.version, sample);
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
        const auto print = fingerprint();
        if (m_state.quarantine.noteBroken(print, m_upstream.name, microseconds(0), now) && m_state.announceBroken)
            m_state.announceBroken(print, m_upstream.name);
    }
    if (meaning.isDeliverable && !meaning.isFailure) {
        if (!m_state.quarantine.empty())
            m_state.quarantine.noteAnswered(fingerprint(), now);
        m_state.counters.answerTime.add(now - m_exchange->arrivedAt);
        finish(result.answer, "answered");
        return;
    }
    if (meaning.isDeliverable)
        m_failureAnswer = result.answer;
    m_mayHaveRun = m_mayHaveRun || !isSurelyNotRun(meaning.outcome);
    if (mayRetry(meaning))
        attempt();
    else
        giveUp(meaning);
}

bool request_flow::mayRetry(const upstream_answer& meaning)
{
    const bool isRepeatable = m_rule->isIdempotent || isSurelyNotRun(meaning.outcome);
    // An upstream that was not reached has not seen the request, so the next one is no repetition.
    if (meaning.outcome == attempt_outcome::not_sent) {
        --m_attempts;
        return m_tries < mostTries;
    }
    if (!isRepeatable || m_attempts >= m_rule->maxAttempts)
        return false;
    if (!m_state.quarantine.empty() && m_state.quarantine.quarantinedFor(fingerprint(), monotonicNow()))
        return false;
    const bool isTaken = m_state.retries.takeRetry(m_query.service, m_state.members.size());
    m_state.counters.retries += isTaken ? 1 : 0;
    return isTaken;
}

void request_flow::giveUp(const upstream_answer& meaning)
{
    if (m_failureAnswer)
        finish(*m_failureAnswer, "upstream_failure");
    else if (m_mayHaveRun)
        refuse(502, "upstream_outcome_unknown");
    else
        refuse(503, meaning.verdict == attempt_verdict::shed ? "upstream_full" : "no_healthy_upstream",
            retryAfterWithoutUpstream);
}

void request_flow::armTimer()
{
    const auto now = monotonicNow();
    const auto next = std::min<monotonic_time>(m_limit, now + silenceCheck);
    m_timer.expires_at(m_rule->isIdempotent ? next : m_limit);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        if (self && !cancelled && !self->m_isDone)
            self->onTimer();
    });
}

bool request_flow::isUpstreamSilent(monotonic_time now) const
{
    const auto* upstream = m_state.upstreams.find(m_upstream.name);
    const auto cold = m_state.times.of(*m_rule).cold;
    const bool isOverdue = now - m_sentAt > silenceFactor * std::max(cold, m_chosen.expected);
    return m_connection && isOverdue && upstream != nullptr && upstream->lastAnswerAt < m_sentAt;
}

void request_flow::onTimer()
{
    const auto now = monotonicNow();
    if (now >= m_limit) {
        onTimeLimit();
        return;
    }
    const bool mayMove = m_rule->isIdempotent && m_attempts < m_rule->maxAttempts && !m_state.isLeaving;
    if (mayMove && isUpstreamSilent(now))
        moveOn();
    if (!m_isDone)
        armTimer();
}

void request_flow::moveOn()
{
    const auto now = monotonicNow();
    m_query.objective = m_exchange->arrivedAt + microseconds(m_rule->objective) - now;
    m_query.timeLeft = m_limit - now;
    const auto next = upstream_selector(m_state).select(m_query, now);
    // The silent upstream may still answer; without another one it is waited for.
    if (next.reason != selection_reason::chosen || !m_state.retries.takeRetry(m_query.service, m_state.members.size()))
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
    if (m_failureAnswer)
        finish(*m_failureAnswer, "upstream_failure");
    else if (m_mayHaveRun)
        refuse(504, "timeout");
    else
        refuse(503, "deadline_passed");
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

void request_flow::refuse(int status, const std::string& reason, milliseconds retryAfter)
{
    finish(ownAnswer(status, reason, retryAfter), reason);
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
    const bool isSampled = hash64(m_requestId) % plainAnswersPerLine == 0;
    event_line line(isPlain && !isSampled ? log_level::debug : log_level::info, "request");
    line.with("decision", decision).with("request", m_requestId).with("status", status);
    if (m_rule != nullptr)
        line.with("rule", m_rule->name).with("version", m_table->version());
    if (m_customer != nullptr)
        line.with("customer", m_customer->name.value());
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
