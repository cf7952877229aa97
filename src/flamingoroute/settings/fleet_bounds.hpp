#ifndef FLAMINGOROUTE_SETTINGS_FLEET_BOUNDS_HPP
#define FLAMINGOROUTE_SETTINGS_FLEET_BOUNDS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Limits that hold for the whole fleet together.
struct fleet_bounds {
    milliseconds gracePeriod { 6000 }; ///< from SIGTERM to SIGKILL
    milliseconds maxLookupTtl { 5000 }; ///< callers keep a look-up's answer no longer
    milliseconds retryWindow { 10000 };
    double retryRatio = 0.2; ///< repeated sendings allowed in a window, for each request
    double retrySlack = 0; ///< repeated sendings allowed in a window beyond the ratio
    milliseconds rateWindow { 5000 };
    double rateOvershoot = 0; ///< part of a customer's rate and burst that a window may hold beyond them
    double rateSlack = 0; ///< requests of a customer that a window may hold beyond that
    double coldRateFactor = 1; ///< times the rate of a cold upstream that one second may hold
    double coldSlack = 0; ///< requests that one second may hold beyond that
    double exposureSlack = 0; ///< requests that it may get beyond that
    double exposureShare = 0.1; ///< of a service's requests that an untried version may get

    bool operator==(const fleet_bounds&) const = default;
};

} // namespace flamingoroute

#endif
