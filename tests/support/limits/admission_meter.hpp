#ifndef FLAMINGOROUTE_TESTS_SUPPORT_LIMITS_ADMISSION_METER_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_LIMITS_ADMISSION_METER_HPP

#include "flamingoroute/limits/share.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <algorithm>
#include <chrono>

namespace flamingoroute::testing {

/// Checks admissions against rate x t + burst over all windows at once: a window that breaks the bound exists exactly
/// if a bucket of that rate and depth, full at the start, would run dry.
class admission_meter {
public:
    /// Sets the bound from @p now on.
    void setLimit(monotonic_time now, const share& limit)
    {
        mint(now);
        m_level = m_isStarted ? m_level + std::max(0, limit.depth - m_limit.depth) : limit.depth;
        m_isStarted = true;
        m_limit = limit;
        m_level = std::min<double>(m_level, limit.depth);
    }

    /// Counts one admission.
    void note(monotonic_time now)
    {
        mint(now);
        m_level -= 1;
        m_lowest = std::min(m_lowest, m_level);
    }

    /// @return true if no window so far broke the bound
    bool isWithinBound() const { return m_lowest > -roundingSlack; }

    /// @return how many admissions were too many in the worst window; 0 or less if none
    double maxExcess() const { return -m_lowest; }

private:
    static constexpr double roundingSlack = 1e-6;

    void mint(monotonic_time now)
    {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_level = std::min<double>(m_limit.depth, m_level + m_limit.perSecond * elapsed.count());
        m_last = now;
    }

    share m_limit;
    bool m_isStarted = false;
    double m_level = 0;
    double m_lowest = 0;
    monotonic_time m_last;
};

} // namespace flamingoroute::testing

#endif
