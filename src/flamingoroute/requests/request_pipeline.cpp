#include "flamingoroute/requests/request_pipeline.hpp"

#include "flamingoroute/requests/route_match.hpp"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace flamingoroute {

namespace {

constexpr int maxAttempts = 3;
constexpr std::size_t maxIdempotencyKeyBytes = 255;
/// Longer than the network delay between any two regions.
constexpr milliseconds noticePropagationTime { 100 };

refusal notRun(refusal_reason reason, const std::string& step, const std::string& detail)
{
    refusal why;
    why.reason = reason;
    why.step = step;
    why.detail = detail;
    return why;
}

refusal unknownOutcome(const attempt_result& result)
{
    refusal why;
    const bool isIncomplete = result.failure.step == "upstream.answer";
    why.reason = isIncomplete ? refusal_reason::upstream_answer_incomplete : refusal_reason::upstream_outcome_unknown;
    why.execution = execution_state::unknown;
    why.step = result.failure.step;
    why.peer = result.failure.peer;
    why.detail = "the upstream may have run the request: " + result.failure.detail;
    return why;
}

refusal upstreamRefused(const attempt_result& result)
{
    const bool isShed = result.outcome == attempt_outcome::refused;
    const auto reason = isShed ? refusal_reason::no_capacity : refusal_reason::no_healthy_upstream;
    auto why = notRun(reason, result.failure.step, "no upstream accepted the request");
    why.peer = result.failure.peer;
    return why;
}

} // namespace

struct request_pipeline::progress {
    caller_request request;
    configuration_ptr current;
    route_match match;
    monotonic_time deadline;
    request_record record;
    std::vector<upstream_id> tried;
    refusal lastRefusal; ///< why the last attempt failed; once its execution is unknown, it stays unknown
    bool mayHaveRun = false;
    monotonic_time noticesPropagatedAt; ///< time by which other instances have received the notice of a broken attempt

    const route& matchedRoute() const { return *match.matchedRoute; }
    const customer_id& customer() const { return record.customer; }
    bool needsClaim() const { return !matchedRoute().isRepeatable && !request.idempotencyKey.empty(); }
};

/// Settles a claim on destruction; with an unknown outcome unless settle() was called.
class request_pipeline::claim_guard {
public:
    claim_guard(const pipeline_hooks& hooks, const progress& state)
        : m_hooks(hooks)
        , m_state(state)
    {
    }

    ~claim_guard()
    {
        if (m_hooks.settleClaim)
            m_hooks.settleClaim(m_state.customer(), m_state.request, m_execution, m_answer);
    }

    claim_guard(const claim_guard&) = delete;
    claim_guard& operator=(const claim_guard&) = delete;

    void settle(execution_state execution, const caller_answer& answer)
    {
        m_execution = execution;
        if (execution == execution_state::ran)
            m_answer = answer;
    }

private:
    const pipeline_hooks& m_hooks;
    const progress& m_state;
    execution_state m_execution = execution_state::unknown;
    std::optional<caller_answer> m_answer;
};

request_pipeline::request_pipeline(pipeline_hooks hooks, retry_limits retries)
    : m_hooks(std::move(hooks))
    , m_retries(retries)
{
}

caller_answer request_pipeline::handle(const caller_request& request) const
{
    progress state;
    state.request = request;
    state.record.id = request.id;
    caller_answer answer = serve(state);
    state.record.status = answer.status;
    state.record.total = m_hooks.now() - request.arrivedAt;
    m_hooks.observe(state.record);
    return answer;
}

caller_answer request_pipeline::serve(progress& state) const
{
    const auto ready = findRoute(state)
                           .and_then([&] { return checkIdempotencyKey(state); })
                           .and_then([&] { return authenticate(state); })
                           .and_then([&] { return checkQuarantine(state); })
                           .and_then([&] { return admit(state); });
    if (!ready)
        return refuse(ready.error(), state);
    {
        const std::lock_guard lock(m_mutex);
        m_retries.recordRequest(state.customer(), m_hooks.now());
    }
    if (state.needsClaim() && m_hooks.claim)
        return serveClaimed(state);
    return runAttempts(state);
}

request_pipeline::step_result request_pipeline::findRoute(progress& state) const
{
    state.current = m_hooks.currentConfiguration();
    if (!state.current)
        return tl::unexpected(notRun(refusal_reason::not_ready, "configuration", "no configuration is active yet"));
    const auto match = matchRoute(*state.current, state.request.method, state.request.target);
    if (!match)
        return tl::unexpected(
            notRun(refusal_reason::unknown_route, "route", "no service accepts this method and path"));
    state.match = *match;
    state.request.isRepeatable = match->matchedRoute->isRepeatable;
    state.record.service = match->matchedService->name;
    state.record.routeName = match->matchedRoute->name;
    state.deadline = state.request.arrivedAt + match->matchedRoute->deadline;
    return {};
}

request_pipeline::step_result request_pipeline::checkIdempotencyKey(const progress& state) const
{
    const auto& key = state.request.idempotencyKey;
    if (key.size() > maxIdempotencyKeyBytes)
        return tl::unexpected(notRun(refusal_reason::malformed_request, "idempotency", "Idempotency-Key is too long"));
    if (key.empty() && state.matchedRoute().requiresIdempotencyKey)
        return tl::unexpected(
            notRun(refusal_reason::malformed_request, "idempotency", "this route requires an Idempotency-Key"));
    return {};
}

request_pipeline::step_result request_pipeline::authenticate(progress& state) const
{
    if (state.matchedRoute().isOpen)
        return {};
    const auto customer = m_hooks.authenticate(state.request.key);
    if (!customer)
        return tl::unexpected(customer.error());
    if (!state.customer().empty() && state.customer() != *customer)
        return tl::unexpected(notRun(refusal_reason::wrong_key, "key", "the key now belongs to another customer"));
    state.record.customer = *customer;
    return {};
}

request_pipeline::step_result request_pipeline::checkQuarantine(const progress& state) const
{
    if (!m_hooks.checkQuarantine)
        return {};
    const auto quarantineRefusal = m_hooks.checkQuarantine(state.customer(), state.matchedRoute(), state.request);
    if (quarantineRefusal)
        return tl::unexpected(*quarantineRefusal);
    return {};
}

request_pipeline::step_result request_pipeline::admit(const progress& state) const
{
    if (state.matchedRoute().isOpen)
        return {};
    return m_hooks.admit(state.customer(), state.deadline);
}

caller_answer request_pipeline::serveClaimed(progress& state) const
{
    const auto decision = m_hooks.claim(state.customer(), state.request, *state.match.matchedService, state.deadline);
    if (decision.earlierAnswer) {
        state.record.execution = execution_state::ran;
        return *decision.earlierAnswer;
    }
    if (!decision.mayRun)
        return refuse(decision.refused.value_or(refusal {}), state);
    claim_guard claim(m_hooks, state);
    caller_answer answer = runAttempts(state);
    claim.settle(state.record.execution, answer);
    return answer;
}

caller_answer request_pipeline::runAttempts(progress& state) const
{
    state.record.version = m_hooks.chooseVersion(*state.match.matchedService, state.matchedRoute());
    upstream_requirements requirements;
    requirements.service = state.record.service;
    requirements.version = state.record.version;
    requirements.customer = state.customer();
    requirements.requestClass = state.matchedRoute().requestClass;
    requirements.deadline = state.deadline;
    requirements.requestBytes = state.request.body.size();
    while (true) {
        requirements.tried = state.tried;
        requirements.version = state.record.version;
        const auto chosen = acquire(requirements, state);
        if (!chosen)
            return refuse(state.record.attempts == 0 ? chosen.error() : state.lastRefusal, state);
        const auto ready = checkBeforeAttempt(state);
        if (!ready) {
            attempt_result unused;
            unused.isSlotUnused = true;
            m_hooks.releaseUpstream(*chosen, unused);
            return refuse(state.mayHaveRun ? state.lastRefusal : ready.error(), state);
        }
        auto result = m_hooks.attempt(chosen->target, state.request, state.deadline);
        m_hooks.releaseUpstream(*chosen, result);
        recordAttempt(state, *chosen, result);
        if (result.outcome == attempt_outcome::answered)
            return std::move(result.answer);
        if (!mayRetry(state, result))
            return refuse(state.lastRefusal, state);
        if (m_hooks.chooseRetryVersion)
            state.record.version = m_hooks.chooseRetryVersion(*state.match.matchedService, state.matchedRoute());
    }
}

tl::expected<chosen_upstream, refusal> request_pipeline::acquire(
    upstream_requirements& requirements, progress& state) const
{
    auto chosen = m_hooks.acquireUpstream(requirements);
    if (chosen || chosen.error().reason != refusal_reason::no_healthy_upstream)
        return chosen;
    if (m_hooks.observeAttempt)
        m_hooks.observeAttempt(
            *state.match.matchedService, state.matchedRoute(), requirements.version, attempt_result {});
    if (!m_hooks.chooseRetryVersion)
        return chosen;
    const auto other = m_hooks.chooseRetryVersion(*state.match.matchedService, state.matchedRoute());
    if (other == requirements.version)
        return chosen;
    requirements.version = other;
    state.record.version = other;
    return m_hooks.acquireUpstream(requirements);
}

request_pipeline::step_result request_pipeline::checkBeforeAttempt(progress& state) const
{
    const auto now = m_hooks.now();
    if (now >= state.deadline)
        return tl::unexpected(notRun(refusal_reason::deadline_passed, "queue", "the deadline passed in the queue"));
    const auto checked = authenticate(state).and_then([&] { return checkQuarantine(state); });
    if (!checked)
        return checked;
    if (state.mayHaveRun && !state.matchedRoute().isOpen)
        return m_hooks.admit(state.customer(), now);
    return {};
}

void request_pipeline::recordAttempt(progress& state, const chosen_upstream& chosen, const attempt_result& result) const
{
    if (m_hooks.observeAttempt)
        m_hooks.observeAttempt(*state.match.matchedService, state.matchedRoute(), state.record.version, result);
    ++state.record.attempts;
    state.record.upstream = chosen.target.name;
    state.record.upstreamTime += result.duration;
    state.tried.push_back(chosen.target.name);
    if (result.outcome == attempt_outcome::answered) {
        state.record.execution = execution_state::ran;
        if (m_hooks.recordAnsweredAttempt)
            m_hooks.recordAnsweredAttempt(state.customer(), state.matchedRoute(), state.request);
        return;
    }
    if (isDefinitelyNotRun(result.outcome)) {
        if (!state.mayHaveRun)
            state.lastRefusal = upstreamRefused(result);
        return;
    }
    state.mayHaveRun = true;
    state.lastRefusal = unknownOutcome(result);
    const bool isBroken = result.failure.code != error_code::timeout;
    if (isBroken && m_hooks.recordBrokenAttempt) {
        m_hooks.recordBrokenAttempt(state.customer(), state.matchedRoute(), state.request, chosen.target);
        state.noticesPropagatedAt = m_hooks.now() + noticePropagationTime;
    }
}

bool request_pipeline::mayRetry(progress& state, const attempt_result& result) const
{
    if (state.record.attempts >= maxAttempts || (state.mayHaveRun && !state.matchedRoute().isRepeatable))
        return false;
    // An attempt that was not sent, or that a leaving upstream refused, puts no load on an upstream: no retry is
    // charged.
    if (result.outcome == attempt_outcome::not_sent || (isDefinitelyNotRun(result.outcome) && result.isUpstreamLeaving))
        return true;
    const std::lock_guard lock(m_mutex);
    return m_retries.takeRetry(state.customer(), m_hooks.now());
}

caller_answer request_pipeline::refuse(const refusal& why, progress& state) const
{
    state.record.refused = why.reason;
    state.record.execution = why.execution;
    state.record.isOverRate = why.reason == refusal_reason::over_rate;
    // If the caller resends the request immediately, the other instances must already have it in quarantine.
    if (m_hooks.sleepUntil && state.noticesPropagatedAt > m_hooks.now())
        m_hooks.sleepUntil(state.noticesPropagatedAt);
    return answerOf(why);
}

caller_answer answerOf(const refusal& why)
{
    caller_answer answer;
    answer.status = httpStatus(why.reason);
    answer.headers.push_back({ "Content-Type", "application/json" });
    answer.headers.push_back({ "Flamingo-Execution", toString(why.execution) });
    if (why.retryAfter > milliseconds { 0 }) {
        const auto wholeSeconds = std::chrono::ceil<seconds>(why.retryAfter);
        answer.headers.push_back({ "Retry-After", std::to_string(wholeSeconds.count()) });
    }
    Poco::JSON::Object body;
    body.set("error", toString(why.reason));
    body.set("execution", toString(why.execution));
    body.set("step", why.step);
    body.set("detail", why.detail);
    std::ostringstream text;
    body.stringify(text);
    answer.body = text.str() + "\n";
    return answer;
}

} // namespace flamingoroute
