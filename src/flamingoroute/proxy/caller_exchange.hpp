#ifndef FLAMINGOROUTE_PROXY_CALLER_EXCHANGE_HPP
#define FLAMINGOROUTE_PROXY_CALLER_EXCHANGE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/http_request.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <functional>

namespace flamingoroute {

/// One request of a caller and the way back for its answer.
struct caller_exchange {
    http_request request;
    monotonic_time arrivedAt;
    /// Gives the answer; only the first call counts. Harmless after the caller has gone.
    /// @param isLast whether the connection closes behind it
    std::function<void(caller_answer answer, bool isLast)> answer;
    /// Set by whoever works on the request: called once if the caller goes before it was answered.
    std::function<void()> onDisconnect;
};

} // namespace flamingoroute

#endif
