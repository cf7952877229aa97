#ifndef FLAMINGOROUTE_PROXY_EXCHANGE_RESULT_HPP
#define FLAMINGOROUTE_PROXY_EXCHANGE_RESULT_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/attempt_outcome.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

namespace flamingoroute {

/// How one request on one connection ended.
struct exchange_result {
    attempt_outcome outcome = attempt_outcome::not_sent;
    caller_answer answer; ///< if answered
    error failure; ///< if not answered
    microseconds connectTime { 0 }; ///< zero if the connection already existed
    bool isConnectFailure = false; ///< the connection could not be established
    bool wasConnectionLost = false; ///< the connection was closed, reset or timed out during the request

    bool operator==(const exchange_result&) const = default;
};

} // namespace flamingoroute

#endif
