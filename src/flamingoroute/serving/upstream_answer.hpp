#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_ANSWER_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_ANSWER_HPP

#include "flamingoroute/placement/attempt_report.hpp"
#include "flamingoroute/proxy/exchange_result.hpp"
#include "flamingoroute/proxy/header_names.hpp"

namespace flamingoroute {

/// @return whether callers conclude from @p status that the request did not run
bool impliesNotRun(int status);

/// Interpretation of an upstream's answer, or of its absence, for the request.
struct upstream_answer {
    attempt_outcome outcome = attempt_outcome::unknown;
    attempt_verdict verdict = attempt_verdict::broken;
    bool isDeliverable = false; ///< the answer may go to the caller as it is
    bool isServerError = false; ///< deliverable, with status 500 or higher
    bool isUpstreamLeaving = false; ///< the upstream said that it will soon accept no more requests
};

/// Interprets the result of an attempt. Has no side effects.
upstream_answer interpretExchange(const exchange_result& result, const header_names& names);

/// @return the load that the answer reports, if it does
std::optional<reported_load> parseLoad(const caller_answer& answer, const header_names& names);

/// @return the requests per second that the answer names as the upstream's limit; empty if it names none or no number
std::optional<double> parseRequestLimit(const caller_answer& answer, const header_names& names);

/// @return for how long an upstream that turned the request away wants no requests; empty if it does not say so
std::optional<milliseconds> parsePause(const caller_answer& answer);

/// @return the remaining cold time that the answer reports, if any
std::optional<milliseconds> parseColdTime(const caller_answer& answer, const header_names& names);

} // namespace flamingoroute

#endif
