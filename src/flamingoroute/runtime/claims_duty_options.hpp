#ifndef FLAMINGOROUTE_RUNTIME_CLAIMS_DUTY_OPTIONS_HPP
#define FLAMINGOROUTE_RUNTIME_CLAIMS_DUTY_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/claim_limits.hpp"

#include <cstddef>

namespace flamingoroute {

/// Bounds of the claims of an instance.
struct claims_duty_options {
    claim_limits limits;
    std::size_t writers = 4; ///< threads that write outcomes
    std::size_t queuedOutcomes = 1024; ///< for each thread; beyond that an outcome is written before the answer
    milliseconds retryAfter { 500 }; ///< before an outcome that could not be written is tried again
    milliseconds sweepPerInstance { 1000 }; ///< time between two sweeps of the whole fleet
    std::size_t deletesPerSweep = 50;

    bool operator==(const claims_duty_options&) const = default;
};

} // namespace flamingoroute

#endif
