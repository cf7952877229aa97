#ifndef FLAMINGOROUTE_MOVES_LATENCY_CLASSIFIER_HPP
#define FLAMINGOROUTE_MOVES_LATENCY_CLASSIFIER_HPP

#include "flamingoroute/report/latency_histogram.hpp"

#include <deque>
#include <optional>

namespace flamingoroute {

/// Compares latencies of the new version with the old version's on the same route at the same instance, so that the
/// distance to the upstreams cancels out. Without traffic for the old version, its last latencies are kept.
class latency_classifier {
public:
    /// Adds a latency of the old version.
    void addBaseline(microseconds latency, monotonic_time now);

    /// @return whether @p latency is clearly above the threshold of the old version's slowest tenth; nothing if there
    ///         are too few samples
    std::optional<bool> isSlow(microseconds latency, monotonic_time now);

private:
    void refresh(monotonic_time now);
    microseconds recentBound() const;

    latency_histogram m_current;
    latency_histogram m_previous;
    monotonic_time m_rotatedAt {};
    monotonic_time m_refreshedAt {};
    std::uint64_t m_countAtRefresh = 0;
    microseconds m_bound { 0 };
    std::deque<microseconds> m_recent; ///< the last latencies, so that a slowdown of both versions is detected at once
};

} // namespace flamingoroute

#endif
