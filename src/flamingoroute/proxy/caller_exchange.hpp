#ifndef FLAMINGOROUTE_PROXY_CALLER_EXCHANGE_HPP
#define FLAMINGOROUTE_PROXY_CALLER_EXCHANGE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/http_request.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <functional>

namespace flamingoroute {

/// One request of a caller and the callbacks for its answer.
struct caller_exchange {
    http_request request;
    monotonic_time arrivedAt;
    /// Sends the answer; only the first call has an effect. Does nothing after the caller has disconnected.
    /// @param closesWhenIdle whether the connection closes as soon as each request read from it has been answered
    std::function<void(caller_answer answer, bool closesWhenIdle)> answer;
    /// Set by the handler of the request; called once if the caller disconnects before the answer.
    std::function<void()> onDisconnect;
};

} // namespace flamingoroute

#endif
