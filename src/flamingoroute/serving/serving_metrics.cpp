#include "flamingoroute/serving/serving_metrics.hpp"

#include "flamingoroute/report/metrics_text.hpp"
#include "flamingoroute/serving/serving_state.hpp"

namespace flamingoroute {

void addMetrics(metrics_text& text, const serving_state& state, std::uint64_t refusedConnections)
{
    for (const auto& [decision, count] : state.counters.decisions)
        text.counter("flamingo_requests_total", "Requests by decision.", { { "decision", decision } }, count);
    for (const auto& [outcome, count] : state.counters.attempts)
        text.counter("flamingo_attempts_total", "Attempts by outcome.", { { "outcome", outcome } }, count);
    for (const auto& [status, count] : state.counters.rejections)
        text.counter("flamingo_rejections_total", "Requests answered before they were complete.",
            { { "status", std::to_string(status) } }, count);
    text.counter("flamingo_retries_total", "Retried attempts.", {}, state.counters.retries);
    text.gauge("flamingo_upstreams_partitioned", "Whether this instance reaches no upstream.", {},
        state.link.isPartitioned() ? 1 : 0);
    text.counter(
        "flamingo_upstream_connections_total", "Connections opened to upstreams.", {}, state.connections.openedCount());
    text.gauge(
        "flamingo_body_bytes", "Memory of the bodies of requests.", {}, static_cast<double>(state.bodies->used()));
    text.counter("flamingo_caller_connections_refused_total", "Connections of callers closed for want of room.", {},
        refusedConnections);
    text.histogram("flamingo_answer_seconds", "Time to an upstream's answer.", {}, state.counters.answerTime);
    text.gauge("flamingo_configuration_version", "Version in force.", {},
        state.table ? static_cast<double>(state.table->version()) : 0);
    text.gauge("flamingo_members_heard", "Reachable instances.", {},
        static_cast<double>(state.members.reachableCount(monotonicNow())));
}

} // namespace flamingoroute
