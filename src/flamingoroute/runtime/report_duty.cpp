#include "flamingoroute/runtime/report_duty.hpp"

#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/burn_report.hpp"
#include "flamingoroute/report/metrics_text.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr milliseconds usageInterval { 10000 };

} // namespace

report_duty::report_duty(report_duty_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_tracker(monotonicNow())
    , m_thread(
          ringCapacity, usageInterval, [this](request_record record) { countRequest(record); }, [this] { sendUsage(); })
{
}

void report_duty::start() { m_thread.start(); }

void report_duty::stop() { m_thread.stop(); }

void report_duty::countRequest(const request_record& record)
{
    const auto current = m_hooks.currentConfiguration();
    const std::lock_guard lock(m_mutex);
    m_counters.countRequest(record);
    if (current)
        m_tracker.recordRequest(record, *current, monotonicNow());
}

void report_duty::sendUsage()
{
    std::string body;
    {
        const std::lock_guard lock(m_mutex);
        body = packMessage(collectBurnUsage(m_tracker, m_hooks.failureDomain, monotonicNow()));
    }
    for (const auto& instance : m_hooks.receivers())
        m_hooks.send(instance, process_role::control, message_kind::burn_usage, body);
}

std::string report_duty::metrics() const
{
    metrics_text text;
    {
        const std::lock_guard lock(m_mutex);
        m_counters.addTo(text);
    }
    text.counter("flamingo_report_dropped_total", "Requests missing from the counts because the ring was full.", {},
        m_thread.refusedCount());
    m_hooks.addMetrics(text);
    return text.text();
}

} // namespace flamingoroute
