#ifndef FLAMINGOROUTE_TESTS_SUPPORT_LIMITS_ADMISSION_METER_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_LIMITS_ADMISSION_METER_HPP

#include "flamingoroute/limits/share.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <algorithm>
#include <chrono>

namespace flamingoroute::testing {

/// Checks that admissions stay within rate x t + burst over every window. Equivalent to a token bucket of that rate and
/// depth, full at the start: a window exceeds the bound if and only if the bucket's level falls below zero.
class admission_meter {
public:
    /// Sets the limit that applies from @p now on.
    void setLimit(monotonic_time now, const share& limit)
    {
        refill(now);
        m_level = m_isStarted ? m_level + std::max(0, limit.depth - m_limit.depth) : limit.depth;
        m_isStarted = true;
        m_limit = limit;
        m_level = std::min<double>(m_level, limit.depth);
    }

    /// Counts one admission.
    void recordAdmission(monotonic_time now)
    {
        refill(now);
        m_level -= 1;
        m_minLevel = std::min(m_minLevel, m_level);
    }

    /// @return true if no window so far exceeded the bound
    bool isWithinBound() const { return m_minLevel > -roundingSlack; }

    /// @return the number of excess admissions in the worst window; 0 or less if none
    double maxExcess() const { return -m_minLevel; }

private:
    static constexpr double roundingSlack = 1e-6;

    void refill(monotonic_time now)
    {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_level = std::min<double>(m_limit.depth, m_level + m_limit.perSecond * elapsed.count());
        m_last = now;
    }

    share m_limit;
    bool m_isStarted = false;
    double m_level = 0;
    double m_minLevel = 0;
    monotonic_time m_last;
};

} // namespace flamingoroute::testing

#endif
