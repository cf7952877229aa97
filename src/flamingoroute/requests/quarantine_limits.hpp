#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// When and for how long requests with one fingerprint are quarantined.
struct quarantine_limits {
    std::size_t upstreamsToQuarantine = 2; ///< distinct upstreams with a broken attempt that trigger a quarantine
    std::size_t upstreamsIfAnswered = 4; ///< the same for a request that was answered within `retention`
    std::size_t answersKept = 16384; ///< slots of the table of answered requests
    microseconds retention { 60'000'000 }; ///< a broken attempt and a complete answer count for this long
    microseconds firstDuration { 30'000'000 }; ///< of the first quarantine, whose request may not be the cause
    microseconds duration { 600'000'000 }; ///< of a quarantine after a further upstream had a broken attempt
    std::size_t maxFingerprints = 4096; ///< the oldest one is evicted beyond this
    std::size_t fanout = 16; ///< peers to which each instance forwards a new notice

    bool operator==(const quarantine_limits&) const = default;
};

} // namespace flamingoroute

#endif
