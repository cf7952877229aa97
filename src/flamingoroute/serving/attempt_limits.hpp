#ifndef FLAMINGOROUTE_SERVING_ATTEMPT_LIMITS_HPP
#define FLAMINGOROUTE_SERVING_ATTEMPT_LIMITS_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/serving/local_refusal.hpp"

namespace flamingoroute {

/// No attempt is started with less time left than this.
inline constexpr microseconds minAttemptTime { 20'000 };
inline constexpr milliseconds retryAfterWithoutUpstream { 300 };

/// The answer to a request that may have run although no answer of an upstream arrived.
inline const local_refusal outcomeUnknown { 502, "upstream_outcome_unknown", milliseconds(0) };

} // namespace flamingoroute

#endif
