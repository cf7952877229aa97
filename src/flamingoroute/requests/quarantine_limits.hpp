#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// When and for how long requests of one fingerprint are held off.
struct quarantine_limits {
    std::size_t upstreamsToQuarantine = 2; ///< different upstreams that must have broken off
    std::size_t upstreamsIfAnswered = 4; ///< the same for a request that was answered whole a short time ago
    std::size_t answersKept = 16384; ///< answered requests remembered
    microseconds retention { 60'000'000 }; ///< a broken attempt and a whole answer count for this long
    microseconds firstDuration { 30'000'000 }; ///< of a quarantine, which may hold off a request that only ran beside
    microseconds duration { 600'000'000 }; ///< of a quarantine after one more upstream broke off
    std::size_t maxFingerprints = 4096; ///< the oldest one is forgotten beyond this
    std::size_t fanout = 16; ///< peers that hear of a new broken attempt from each instance that learns of it

    bool operator==(const quarantine_limits&) const = default;
};

} // namespace flamingoroute

#endif
