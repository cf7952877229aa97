#ifndef FLAMINGOROUTE_SERVING_LOCAL_ANSWER_HPP
#define FLAMINGOROUTE_SERVING_LOCAL_ANSWER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <string>

namespace flamingoroute {

/// Builds an answer that this instance generates itself, without an upstream.
/// @param status HTTP status; 429 and 503 state that the request has not run and will not run
/// @param reason the standard name of the reason, for the caller and the log
/// @param retryAfter when the caller may retry; zero: no Retry-After header
caller_answer localAnswer(int status, const std::string& reason, milliseconds retryAfter = milliseconds(0));

/// @return the milliseconds in @p text, or @p fallback if it is not an integer
milliseconds parseMilliseconds(const std::string& text, milliseconds fallback);

} // namespace flamingoroute

#endif
