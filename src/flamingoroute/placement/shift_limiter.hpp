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
    /// @param plannedShare of the requests that other regions run by plan, 0 to 1
    /// @return whether one more request may run in another region
    bool mayLeaveRegion(double plannedShare, monotonic_time now) const;

    /// @return whether fewer requests than before leave, so that one whose object is at hand elsewhere should
    bool shouldLeaveRegion(monotonic_time now) const;

    /// Counts a request.
    void record(bool isRemote, monotonic_time now);

private:
    static constexpr std::int64_t bucketsPerWindow = 20;

    struct request_counts {
        std::int64_t bucket = -1;
        double total = 0;
        double remote = 0;
    };

    /// @return the counts of the window that ends @p windowsAgo windows before the slot of @p now
    request_counts countsOfWindow(std::int64_t windowsAgo, monotonic_time now) const;

    std::array<request_counts, 2 * bucketsPerWindow> m_buckets {};
};

} // namespace flamingoroute

#endif
