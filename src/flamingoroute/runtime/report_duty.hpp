#ifndef FLAMINGOROUTE_RUNTIME_REPORT_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_REPORT_DUTY_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/report/objective_tracker.hpp"
#include "flamingoroute/requests/request_record.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/entry_counters.hpp"
#include "flamingoroute/runtime/report_duty_hooks.hpp"

#include <mutex>
#include <string>

namespace flamingoroute {

/// Reporting of an entry process: counts each finished request, sends the counts to control processes and renders
/// metrics. If the ring is full, the request is missing from the counts and is counted as dropped.
class report_duty {
public:
    explicit report_duty(report_duty_hooks hooks);

    void start();
    void stop();

    /// Thread-safe; does not block.
    void recordRequest(const request_record& record) { m_thread.post(record); }

    /// Thread-safe.
    /// @return the metrics in the text exposition format
    std::string metrics() const;

private:
    void countRequest(const request_record& record);
    void sendUsage();

    report_duty_hooks m_hooks;
    mutable std::mutex m_mutex;
    objective_tracker m_tracker;
    entry_counters m_counters;
    duty_thread<request_record> m_thread;
};

} // namespace flamingoroute

#endif
