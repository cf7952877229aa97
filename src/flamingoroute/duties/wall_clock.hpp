#ifndef FLAMINGOROUTE_DUTIES_WALL_CLOCK_HPP
#define FLAMINGOROUTE_DUTIES_WALL_CLOCK_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <optional>

namespace flamingoroute {

/// Time since 1970, anchored to the monotonic clock, so that a step of the system's clock does not move counts into
/// other windows at once. A step is adopted after the system's clock has kept to it for settleTime.
class wall_clock {
public:
    static constexpr microseconds settleTime { 10'000'000 };
    /// Smaller differences are followed at once.
    static constexpr microseconds maxSlew { 20'000 };

    /// Compares with the system's clock.
    /// @param systemTime since 1970
    /// @return whether a step was adopted
    bool observe(microseconds systemTime, monotonic_time now);

    bool isSet() const { return m_isSet; }

    /// @return the time since 1970 at @p time
    microseconds at(monotonic_time time) const { return m_offset + time.time_since_epoch(); }

private:
    struct pending_step {
        microseconds offset;
        monotonic_time since;
    };

    bool m_isSet = false;
    microseconds m_offset { 0 };
    std::optional<pending_step> m_step;
};

} // namespace flamingoroute

#endif
