#ifndef FLAMINGOROUTE_REQUESTS_ATTEMPT_RESULT_HPP
#define FLAMINGOROUTE_REQUESTS_ATTEMPT_RESULT_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/attempt_outcome.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

namespace flamingoroute {

/// One attempt as it ended.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool isSlotUnused = false; ///< no attempt was made, which says nothing about the upstream
    caller_answer answer; ///< if answered
    error failure; ///< if not answered
    microseconds duration { 0 };
    double reportedLoad = -1; ///< the upstream's own load, 0 to 1, from its answer; negative if it said none
    bool isUpstreamLeaving = false; ///< the upstream said that it takes no new work

    bool operator==(const attempt_result&) const = default;
};

} // namespace flamingoroute

#endif
