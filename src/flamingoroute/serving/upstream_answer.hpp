#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_ANSWER_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_ANSWER_HPP

#include "flamingoroute/placement/attempt_report.hpp"
#include "flamingoroute/proxy/exchange_result.hpp"
#include "flamingoroute/proxy/header_names.hpp"

namespace flamingoroute {

/// What an upstream's answer, or the lack of one, means for its request.
struct upstream_answer {
    attempt_outcome outcome = attempt_outcome::unknown;
    attempt_verdict verdict = attempt_verdict::broken;
    bool isDeliverable = false; ///< the answer may go to the caller as it is
    bool isFailure = false; ///< the answer says that the upstream failed
};

/// Interprets the end of an attempt. Pure.
upstream_answer interpret(const exchange_result& result, const header_names& names);

/// @return the load that the answer reports, if it does
std::optional<reported_load> parseLoad(const caller_answer& answer, const header_names& names);

/// @return for how long the upstream says it stays cold, if it does
std::optional<milliseconds> parseColdTime(const caller_answer& answer, const header_names& names);

} // namespace flamingoroute

#endif
