#ifndef FLAMINGOROUTE_PLACEMENT_SHIFT_LIMITER_HPP
#define FLAMINGOROUTE_PLACEMENT_SHIFT_LIMITER_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <array>
#include <cstdint>

namespace flamingoroute {

/// Keeps the part of an instance's requests that runs in other regions from jumping between two windows, up or down.
/// Pure.
///
/// Answers the first seconds of a day, when no object is at hand anywhere and the upstreams of a small region are full,
/// and the end of a burst.
class shift_limiter {
public:
    /// @param plannedPart of the requests that other regions run by plan, 0 to 1
    /// @return whether one more request may run in another region
    bool mayLeave(double plannedPart, monotonic_time now) const;

    /// @return whether fewer requests than before leave, so that one whose object is at hand elsewhere should
    bool shouldLeave(monotonic_time now) const;

    /// Counts a request.
    void note(bool hasLeft, monotonic_time now);

private:
    static constexpr std::int64_t slotsPerWindow = 20;

    struct parts {
        std::int64_t slot = -1;
        double all = 0;
        double left = 0;
    };

    /// @return the counts of the window that ends @p windowsAgo windows before the slot of @p now
    parts windowBefore(std::int64_t windowsAgo, monotonic_time now) const;

    std::array<parts, 2 * slotsPerWindow> m_slots {};
};

} // namespace flamingoroute

#endif
