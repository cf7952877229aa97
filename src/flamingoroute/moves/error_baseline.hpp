#ifndef FLAMINGOROUTE_MOVES_ERROR_BASELINE_HPP
#define FLAMINGOROUTE_MOVES_ERROR_BASELINE_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <deque>

namespace flamingoroute {

/// The old version's share of errors in the last seconds. Without traffic for it, the last known share is kept.
class error_baseline {
public:
    void add(std::uint64_t attempts, std::uint64_t errors, monotonic_time now);

    /// @return an upper estimate of the share, over the last ten seconds or the last few attempts, whichever is higher
    double errorShare() const;

private:
    struct bucket {
        std::int64_t second = 0;
        std::uint64_t attempts = 0;
        std::uint64_t errors = 0;
    };

    void updateRecent(std::uint64_t attempts, std::uint64_t errors);

    std::deque<bucket> m_buckets;
    std::uint64_t m_attempts = 0; ///< in all buckets
    std::uint64_t m_errors = 0; ///< in all buckets
    double m_recentShare = 0; ///< exponentially weighted over the last attempts
};

} // namespace flamingoroute

#endif
