#ifndef FLAMINGOROUTE_PLACEMENT_SHIFT_LIMITER_HPP
#define FLAMINGOROUTE_PLACEMENT_SHIFT_LIMITER_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <array>
#include <cstdint>

namespace flamingoroute {

/// Limits how much the share of an instance's requests that run in other regions rises or falls between two windows.
/// Pure: no I/O, clocks or threads.
///
/// Needed in the first seconds after a cold start, when no upstream has any object cached and the upstreams of a small
/// region are full, and at the end of a burst.
class shift_limiter {
public:
    /// @param plannedShare share of the requests that is planned to run in other regions, 0 to 1
    /// @return whether one more request may run in another region
    bool mayLeaveRegion(double plannedShare, monotonic_time now) const;

    /// @return whether the share of remote requests falls too fast, so that a request whose object is cached in another
    /// region should run there
    bool shouldLeaveRegion(monotonic_time now) const;

    /// Counts a request that was sent to an upstream.
    /// @param isRemote whether the upstream is in another region
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
