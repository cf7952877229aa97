#ifndef FLAMINGOROUTE_DUTIES_USAGE_COUNTER_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_COUNTER_HPP

#include "flamingoroute/duties/usage_counts.hpp"
#include "flamingoroute/duties/wall_clock.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>

namespace flamingoroute {

/// Counts the requests that upstreams begin to run for this instance, by customer and window of wall-clock time. An
/// attempt is counted when it is sent, and taken back if it turns out not to have run. Pure: no I/O or threads.
class usage_counter {
public:
    /// @param window length of a window; zero: nothing is counted
    explicit usage_counter(milliseconds window);

    bool isEnabled() const { return m_window > microseconds(0); }

    /// Compares the windows' clock with the system's.
    /// @return whether a step of the system's clock was adopted
    bool observeClock(microseconds systemTime, monotonic_time now) { return m_clock.observe(systemTime, now); }

    void add(const customer_id& customer, monotonic_time startsAt);
    void takeBack(const customer_id& customer, monotonic_time startsAt);

    window_index windowAt(monotonic_time time) const;

    /// @return the time since the end of @p window; negative before it
    microseconds sinceEnd(window_index window, monotonic_time now) const;

    customer_counts countsOf(window_index window) const;

private:
    wall_clock m_clock;
    microseconds m_window;
    std::map<window_index, customer_counts> m_counts; ///< of the last windows
};

} // namespace flamingoroute

#endif
