#include "flamingoroute/serving/body_policies.hpp"

#include "flamingoroute/proxy/caller_exchange.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/serving/local_answer.hpp"
#include "flamingoroute/serving/request_admission.hpp"
#include "flamingoroute/serving/serving_state.hpp"

namespace flamingoroute {

namespace {

/// Bodies that arrive at the usual rate are complete after about this time.
constexpr milliseconds retryAfterWithoutMemory { 1000 };

void countRefusal(serving_state& state, const std::string& reason, int status, const std::string& id)
{
    ++state.counters.decisions[reason];
    event_line(log_level::info, "request")
        .with("decision", reason)
        .with("request", id)
        .with("status", status)
        .with("body_bytes", state.bodies->used());
}

body_admission admitBody(serving_state& state, const http_request& head)
{
    caller_exchange exchange;
    exchange.request = head;
    exchange.arrivedAt = monotonicNow();
    admitted_request admitted;
    if (const auto refusal = request_admission(state).admitHead(exchange, admitted)) {
        countRefusal(state, refusal->reason, refusal->status, admitted.id);
        return { localAnswer(refusal->status, refusal->reason, refusal->retryAfter), {} };
    }
    return { std::nullopt, admitted.customer == nullptr ? "no key" : "customer " + admitted.customer->name.value() };
}

caller_answer refuseBody(serving_state& state, body_refusal reason)
{
    constexpr int unavailable = 503;
    const std::string name = reason == body_refusal::no_memory ? "no_body_memory" : "body_evicted";
    countRefusal(state, name, unavailable, {});
    return localAnswer(unavailable, name, retryAfterWithoutMemory);
}

} // namespace

body_policy makeBodyPolicy(serving_state& state)
{
    body_policy policy;
    policy.admit = [&state](const http_request& head) { return admitBody(state, head); };
    policy.refuse = [&state](body_refusal reason) { return refuseBody(state, reason); };
    policy.onRejected = [&state](int status) { ++state.counters.rejections[status]; };
    policy.budget = state.bodies;
    return policy;
}

} // namespace flamingoroute
