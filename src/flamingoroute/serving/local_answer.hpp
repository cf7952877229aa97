#ifndef FLAMINGOROUTE_SERVING_LOCAL_ANSWER_HPP
#define FLAMINGOROUTE_SERVING_LOCAL_ANSWER_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <string>

namespace flamingoroute {

/// An answer that the node makes itself.
/// @param status HTTP status; 429 and 503 say that the request has not run and never will
/// @param reason the standard name of the reason, for the caller and the log
/// @param retryAfter when the caller may come again; zero: no word on it
caller_answer localAnswer(int status, const std::string& reason, milliseconds retryAfter = milliseconds(0));

/// @return the milliseconds in @p text, or @p otherwise if it is no whole number
milliseconds parseMilliseconds(const std::string& text, milliseconds fallback);

} // namespace flamingoroute

#endif
