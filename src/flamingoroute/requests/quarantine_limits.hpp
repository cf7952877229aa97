#ifndef FLAMINGOROUTE_REQUESTS_QUARANTINE_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_QUARANTINE_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// When and for how long requests of one fingerprint are held off.
struct quarantine_limits {
    std::size_t upstreamsToQuarantine = 2; ///< different upstreams that must have broken off
    microseconds memory { 60'000'000 }; ///< a broken attempt counts for this long
    microseconds duration { 600'000'000 }; ///< of a quarantine
    std::size_t maxFingerprints = 4096; ///< the oldest one is forgotten beyond this
    std::size_t fanout = 16; ///< peers that hear of a new broken attempt from each instance that learns of it

    bool operator==(const quarantine_limits&) const = default;
};

} // namespace flamingoroute

#endif
