#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Limits for acquiring, settling and retaining claims.
struct claim_limits {
    int maxCreates = 3; ///< attempts to create a claim; repeated if a read does not find it
    int maxReads = 8; ///< reads of another submission's claim before its outcome is reported as unknown
    int maxFailedReads = 3; ///< failed reads before the platform is treated as unreachable
    microseconds firstWait { 20'000 }; ///< back-off before the second read; doubles after each wait
    int maxSettleTries = 3; ///< attempts to settle one claim before the job is deferred
    std::size_t maxKeptAnswerBytes = 64 * 1024; ///< a larger answer is not stored for later submissions
    seconds retention { 24 * 3600 }; ///< how long a claim is kept; after that the same key runs again

    bool operator==(const claim_limits&) const = default;
};

} // namespace flamingoroute

#endif
