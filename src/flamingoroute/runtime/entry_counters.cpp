#include "flamingoroute/runtime/entry_counters.hpp"

#include "flamingoroute/report/metrics_text.hpp"

namespace flamingoroute {

void entry_counters::countRequest(const request_record& record)
{
    ++m_requestsByService[record.service.value()];
    ++m_requestsByExecution[toString(record.execution)];
    if (record.refused)
        ++m_refusalsByReason[toString(*record.refused)];
    else
        m_latencyByService[record.service.value()].add(record.total);
    if (record.attempts > 1)
        m_retries += static_cast<std::uint64_t>(record.attempts - 1);
}

void entry_counters::addTo(metrics_text& text) const
{
    for (const auto& [service, count] : m_requestsByService)
        text.counter("flamingo_requests_total", "Finished requests.", { { "service", service } }, count);
    for (const auto& [execution, count] : m_requestsByExecution) {
        text.counter("flamingo_executions_total", "Requests by whether an upstream ran them.",
            { { "execution", execution } }, count);
    }
    for (const auto& [reason, count] : m_refusalsByReason)
        text.counter("flamingo_refusals_total", "Requests refused by the system.", { { "reason", reason } }, count);
    text.counter("flamingo_retries_total", "Attempts after the first.", {}, m_retries);
    for (const auto& [service, latencies] : m_latencyByService) {
        text.histogram("flamingo_request_seconds", "Time from arrival to an upstream's answer.",
            { { "service", service } }, latencies);
    }
}

} // namespace flamingoroute
