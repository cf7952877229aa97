#ifndef FLAMINGOROUTE_RUNTIME_CLAIMS_DUTY_OPTIONS_HPP
#define FLAMINGOROUTE_RUNTIME_CLAIMS_DUTY_OPTIONS_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/claim_limits.hpp"

#include <cstddef>

namespace flamingoroute {

/// Limits of the claim handling of an instance.
struct claims_duty_options {
    claim_limits limits;
    std::size_t writers = 4; ///< threads that write outcomes
    std::size_t queuedOutcomes = 1024; ///< per thread; beyond that an outcome is written before the answer is sent
    milliseconds retryAfter { 500 }; ///< delay before the write of an outcome is retried
    milliseconds sweepPerInstance { 1000 }; ///< average time between two sweeps anywhere in the fleet
    std::size_t deletesPerSweep = 50;

    bool operator==(const claims_duty_options&) const = default;
};

} // namespace flamingoroute

#endif
