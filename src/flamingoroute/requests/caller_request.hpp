#ifndef FLAMINGOROUTE_REQUESTS_CALLER_REQUEST_HPP
#define FLAMINGOROUTE_REQUESTS_CALLER_REQUEST_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// A caller's request as received, with the credentials removed from target and headers.
struct caller_request {
    std::string id; ///< unique across the fleet: instance, incarnation and a counter
    std::string method;
    std::string target; ///< path and query, without any credential
    std::vector<http_header> headers; ///< end-to-end headers only, without any credential
    std::string body;
    std::string key; ///< API key that the caller presented; never forwarded or logged
    std::string idempotencyKey; ///< empty if the caller sent none
    std::string clientAddress;
    bool isRepeatable = false; ///< the route allows running it more than once; set by the pipeline
    monotonic_time arrivedAt;

    bool operator==(const caller_request&) const = default;
};

} // namespace flamingoroute

#endif
