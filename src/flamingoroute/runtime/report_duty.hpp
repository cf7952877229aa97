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

/// The entry's part in reports: counts each request that has ended, tells the control processes of its failure domain
/// what it counted, and renders metrics. A full ring drops the request from the counts, and counts that.
class report_duty {
public:
    explicit report_duty(report_duty_hooks hooks);

    void start();
    void stop();

    /// Safe to call from any thread; does not block.
    void note(const request_record& record) { m_thread.post(record); }

    /// Safe to call from any thread.
    /// @return the metrics in the text exposition format
    std::string metrics() const;

private:
    void take(const request_record& record);
    void sendUsage();

    report_duty_hooks m_hooks;
    mutable std::mutex m_mutex;
    objective_tracker m_tracker;
    entry_counters m_counters;
    duty_thread<request_record> m_thread;
};

} // namespace flamingoroute

#endif
