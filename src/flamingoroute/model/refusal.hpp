#ifndef FLAMINGOROUTE_MODEL_REFUSAL_HPP
#define FLAMINGOROUTE_MODEL_REFUSAL_HPP

#include "flamingoroute/model/execution_state.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

enum class refusal_reason {
    malformed_request,
    unknown_route,
    missing_key,
    wrong_key,
    over_rate,
    no_capacity,
    no_healthy_upstream,
    deadline_passed,
    duplicate_in_progress,
    idempotency_key_reused, ///< the same Idempotency-Key came with another request
    already_ran, ///< an earlier sending ran and its answer is not kept
    unclaimable, ///< the platform could not be asked whether an earlier sending ran
    quarantined,
    not_ready,
    upstream_outcome_unknown,
    upstream_answer_incomplete,
};

/// An answer of the system itself in place of an upstream's answer.
struct refusal {
    refusal_reason reason = refusal_reason::not_ready;
    execution_state execution = execution_state::not_run;
    std::string step; ///< the step at which the request stopped
    std::string peer; ///< the upstream or instance concerned, if any
    std::string detail; ///< for the caller; holds no secret
    milliseconds retryAfter { 0 }; ///< zero if no use

    bool operator==(const refusal&) const = default;
};

/// @return the standard name, for example "over_rate"
const char* toString(refusal_reason reason);

/// @return the HTTP status that stands for @p reason
int httpStatus(refusal_reason reason);

} // namespace flamingoroute

#endif
