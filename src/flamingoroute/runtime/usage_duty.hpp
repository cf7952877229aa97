#ifndef FLAMINGOROUTE_RUNTIME_USAGE_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_USAGE_DUTY_HPP

#include "flamingoroute/duties/duty_lease.hpp"
#include "flamingoroute/duties/usage_collector.hpp"
#include "flamingoroute/duties/usage_reporter.hpp"
#include "flamingoroute/duties/usage_schedule.hpp"
#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/runtime/duty_caller.hpp"
#include "flamingoroute/runtime/fleet_port.hpp"

#include <functional>
#include <map>
#include <string>

namespace flamingoroute {

class metrics_text;
class watched_store;
struct serving_state;

/// Sends this instance's usage counts to the relays, sums the region's as a relay, and reports the fleet's usage while
/// this instance holds that duty. Does nothing unless the settings ask for usage reports.
class usage_duty {
public:
    /// Sends a message to the peer address of another instance.
    using send_message = std::function<void(const endpoint&, message_kind, const std::string& body)>;

    /// The arguments must outlive the duty.
    usage_duty(serving_state& state, watched_store& store, const fleet_port& port, send_message send);

    /// Takes the steps that are due. To be called several times a second.
    void tick();

    /// Records the counts in a message of another instance.
    void receive(const envelope& message);

    /// Sends the counts of the open window, because the process ends.
    void sendLastCounts();

    void addMetrics(metrics_text& text) const;

private:
    bool isEnabled() const;
    bool isCandidate(monotonic_time now) const;
    object_access accessTo(const std::string& name) const;
    usage_reporter::hooks reporterHooks();
    void sendReport(const window_report& report, duty_caller::done_callback done);

    void observeClock(monotonic_time now);
    void sendDueCounts(window_index window, monotonic_time now);
    void sendCounts(window_index window, monotonic_time now);
    void forwardSum(const envelope& message, const usage_counts& sum);
    void sendSum(window_index window, monotonic_time now);

    struct sent_rounds {
        int instance = 0;
        int region = 0;
    };

    serving_state& m_state;
    watched_store& m_store;
    const fleet_port& m_port;
    send_message m_send;
    usage_schedule m_schedule;
    incarnation m_incarnation;
    std::map<window_index, sent_rounds> m_rounds; ///< of windows whose messages are being sent
    usage_collector m_collector;
    duty_lease m_lease;
    duty_caller m_caller;
    usage_reporter m_reporter;
};

} // namespace flamingoroute

#endif
