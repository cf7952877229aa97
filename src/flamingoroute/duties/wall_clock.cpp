#include "flamingoroute/duties/wall_clock.hpp"

namespace flamingoroute {

bool wall_clock::observe(microseconds systemTime, monotonic_time now)
{
    const auto offset = systemTime - now.time_since_epoch();
    if (!m_isSet || std::chrono::abs(offset - m_offset) <= maxSlew) {
        m_isSet = true;
        m_offset = offset;
        m_step.reset();
        return false;
    }
    if (!m_step || std::chrono::abs(offset - m_step->offset) > maxSlew) {
        m_step = pending_step { offset, now };
        return false;
    }
    if (now - m_step->since < settleTime)
        return false;
    m_offset = offset;
    m_step.reset();
    return true;
}

} // namespace flamingoroute
