#ifndef FLAMINGOROUTE_LIMITS_DEMAND_METER_HPP
#define FLAMINGOROUTE_LIMITS_DEMAND_METER_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cmath>

namespace flamingoroute {

/// Exponentially weighted average of requests per second.
class demand_meter {
public:
    /// @param window time constant of the average
    explicit demand_meter(milliseconds window)
        : m_window(window)
    {
    }

    /// Counts one request.
    void record(monotonic_time now)
    {
        decay(now);
        m_perSecond += 1 / m_window.count();
    }

    /// @return requests per second
    double perSecond(monotonic_time now)
    {
        decay(now);
        return m_perSecond;
    }

private:
    void decay(monotonic_time now)
    {
        if (now <= m_last)
            return;
        const std::chrono::duration<double> elapsed = now - m_last;
        m_perSecond *= std::exp(-elapsed.count() / m_window.count());
        m_last = now;
    }

    std::chrono::duration<double> m_window;
    double m_perSecond = 0;
    monotonic_time m_last;
};

} // namespace flamingoroute

#endif
