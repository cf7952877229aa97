#ifndef FLAMINGOROUTE_REQUESTS_ATTEMPT_RESULT_HPP
#define FLAMINGOROUTE_REQUESTS_ATTEMPT_RESULT_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/attempt_outcome.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

namespace flamingoroute {

/// Result of one attempt.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool isSlotUnused = false; ///< no attempt was made; the result must not count for or against the upstream
    caller_answer answer; ///< if answered
    error failure; ///< if not answered
    microseconds duration { 0 };
    double reportedLoad = -1; ///< load reported in the upstream's answer, 0 to 1; negative if absent
    bool isUpstreamLeaving = false; ///< the upstream reported that it accepts no new requests

    bool operator==(const attempt_result&) const = default;
};

} // namespace flamingoroute

#endif
