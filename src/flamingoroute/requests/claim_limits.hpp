#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Bounds of the work on one claim.
struct claim_limits {
    int maxCreates = 3; ///< tries to create a claim whose fate is not known
    int maxReads = 8; ///< reads of another sending's claim before its fate is called unknown
    int maxFailedReads = 3; ///< reads that fail before the platform counts as out of reach
    microseconds firstWait { 20'000 }; ///< before the second read; each later wait is twice as long
    int maxSettleTries = 3; ///< tries to write one outcome before the job waits
    std::size_t maxKeptAnswerBytes = 64 * 1024; ///< a larger answer is not kept for a later sending
    seconds retention { 24 * 3600 }; ///< a claim is kept this long; the same key runs anew afterwards

    bool operator==(const claim_limits&) const = default;
};

} // namespace flamingoroute

#endif
