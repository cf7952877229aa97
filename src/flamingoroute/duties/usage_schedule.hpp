#ifndef FLAMINGOROUTE_DUTIES_USAGE_SCHEDULE_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_SCHEDULE_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <algorithm>
#include <cstdint>

namespace flamingoroute {

/// When the counts of a window travel, measured from the window's end. A tenth of the time until reports are due is one
/// step: instances send after 1, 2 and 3 steps, regions half a step later each. Half of the time is left for a new
/// holder.
class usage_schedule {
public:
    static constexpr int rounds = 3;

    /// @param lateAfter time from a window's end until its report is due
    explicit usage_schedule(milliseconds lateAfter)
        : m_late(lateAfter)
        , m_step(microseconds(lateAfter) / 10)
    {
    }

    /// @return how many of the instance's messages are due
    int instanceRounds(microseconds sinceEnd) const { return roundsAfter(sinceEnd); }

    /// @return how many of the region's messages are due
    int regionRounds(microseconds sinceEnd) const { return roundsAfter(sinceEnd - m_step / 2); }

    /// @return whether the window may be recorded
    bool isRecordable(microseconds sinceEnd, bool isComplete) const
    {
        const auto earliest = isComplete ? m_step * 27 / 10 : m_step * 45 / 10;
        return sinceEnd >= earliest;
    }

    /// @return whether a report would be late
    bool isLate(microseconds sinceEnd) const { return sinceEnd >= m_late; }

private:
    int roundsAfter(microseconds time) const
    {
        return time < m_step ? 0 : static_cast<int>(std::min<std::int64_t>(rounds, time / m_step));
    }

    microseconds m_late;
    microseconds m_step;
};

} // namespace flamingoroute

#endif
