#ifndef FLAMINGOROUTE_SETTINGS_FLEET_BOUNDS_HPP
#define FLAMINGOROUTE_SETTINGS_FLEET_BOUNDS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Limits that apply to the fleet as a whole.
struct fleet_bounds {
    milliseconds gracePeriod { 6000 }; ///< from SIGTERM to SIGKILL
    milliseconds maxLookupTtl { 5000 }; ///< maximum time that callers may cache the answer of a look-up
    milliseconds retryWindow { 10000 };
    double retryRatio = 0.2; ///< retries allowed in a window, as a fraction of its requests
    double retrySlack = 0; ///< retries allowed in a window beyond the ratio
    milliseconds rateWindow { 5000 };
    double rateOvershoot = 0; ///< excess over rate and burst allowed in a window, as a fraction of them
    double rateSlack = 0; ///< requests of a customer allowed in a window beyond that
    double coldRateFactor = 1; ///< requests to a cold upstream allowed in one second, as a multiple of its cold rate
    double coldSlack = 0; ///< requests allowed in one second beyond that
    double exposureSlack = 0; ///< requests that an untried version may receive beyond exposureShare
    double exposureShare = 0.1; ///< fraction of a service's requests that an untried version may receive
    milliseconds usageWindow { 0 }; ///< length of the windows in which usage is counted; zero: none
    milliseconds usageLateAfter { 10000 }; ///< from the end of a window until its report is due
    milliseconds leaseTime { 3000 }; ///< in which two holders of a duty must not alternate
    milliseconds pauseSlack { 300 }; ///< in which a holder that was paused must notice that

    bool operator==(const fleet_bounds&) const = default;
};

} // namespace flamingoroute

#endif
