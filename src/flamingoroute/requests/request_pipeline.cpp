#include "flamingoroute/requests/request_pipeline.hpp"

#include "flamingoroute/requests/route_match.hpp"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <sstream>

namespace flamingoroute {

namespace {

constexpr int maxAttempts = 3;

refusal unknownOutcome(const attempt_result& result)
{
    refusal why;
    why.reason = refusal_reason::upstream_outcome_unknown;
    why.execution = execution_state::unknown;
    why.step = result.failure.step;
    why.peer = result.failure.peer;
    why.detail = "the upstream may have run the request: " + result.failure.detail;
    return why;
}

refusal notRun(refusal_reason reason, const std::string& step, const std::string& detail)
{
    refusal why;
    why.reason = reason;
    why.step = step;
    why.detail = detail;
    return why;
}

} // namespace

struct request_pipeline::progress {
    configuration_ptr current;
    route_match match;
    monotonic_time deadline;
    request_record record;
};

request_pipeline::request_pipeline(pipeline_hooks hooks)
    : m_hooks(std::move(hooks))
{
}

caller_answer request_pipeline::handle(const caller_request& request) const
{
    progress state;
    state.record.id = request.id;
    caller_answer answer = serve(request, state);
    state.record.status = answer.status;
    state.record.total = m_hooks.now() - request.arrivedAt;
    m_hooks.observe(state.record);
    return answer;
}

caller_answer request_pipeline::serve(const caller_request& request, progress& state) const
{
    state.current = m_hooks.currentConfiguration();
    if (!state.current)
        return refuse(notRun(refusal_reason::not_ready, "configuration", "no configuration is in force yet"), state);
    const auto match = matchRoute(*state.current, request.method, request.target);
    if (!match)
        return refuse(notRun(refusal_reason::unknown_route, "route", "no service takes this path"), state);
    state.match = *match;
    state.record.service = match->wanted->name;
    state.record.routeName = match->way->name;
    state.deadline = request.arrivedAt + match->way->deadline;
    if (!match->way->isOpen) {
        const auto customer = m_hooks.authenticate(request.key);
        if (!customer)
            return refuse(customer.error(), state);
        state.record.customer = *customer;
        const auto admitted = m_hooks.admit(*customer, state.deadline);
        if (!admitted)
            return refuse(admitted.error(), state);
    }
    return runAttempts(request, state);
}

caller_answer request_pipeline::runAttempts(const caller_request& request, progress& state) const
{
    const auto& wanted = *state.match.wanted;
    const auto& way = *state.match.way;
    state.record.version = m_hooks.chooseVersion(wanted, way);
    upstream_wish wish;
    wish.service = wanted.name;
    wish.version = state.record.version;
    wish.customer = state.record.customer;
    wish.requestClass = way.requestClass;
    wish.deadline = state.deadline;
    wish.requestBytes = request.body.size();
    refusal last = notRun(refusal_reason::no_healthy_upstream, "attempt", "no upstream took the request");
    while (state.record.attempts < maxAttempts) {
        const auto chosen = m_hooks.acquireUpstream(wish);
        if (!chosen) {
            const bool isFirst = state.record.attempts == 0;
            return refuse(isFirst ? chosen.error() : last, state);
        }
        ++state.record.attempts;
        state.record.upstream = chosen->target.name;
        const auto result = m_hooks.attempt(chosen->target, request, state.deadline);
        m_hooks.releaseUpstream(*chosen, result);
        state.record.upstreamTime += result.duration;
        if (result.outcome == attempt_outcome::answered) {
            state.record.execution = execution_state::ran;
            return result.answer;
        }
        if (!isSurelyNotRun(result.outcome)) {
            last = unknownOutcome(result);
            if (!way.isRepeatable)
                return refuse(last, state);
        }
        wish.tried.push_back(chosen->target.name);
    }
    return refuse(last, state);
}

caller_answer request_pipeline::refuse(const refusal& why, progress& state) const
{
    state.record.refused = why.reason;
    state.record.execution = why.execution;
    state.record.isOverRate = why.reason == refusal_reason::over_rate;
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
