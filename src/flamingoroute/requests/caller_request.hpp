#ifndef FLAMINGOROUTE_REQUESTS_CALLER_REQUEST_HPP
#define FLAMINGOROUTE_REQUESTS_CALLER_REQUEST_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// A caller's request as it was read, with the credentials taken out.
struct caller_request {
    std::string id; ///< unique over the fleet: instance, incarnation and a count
    std::string method;
    std::string target; ///< path and query, without any credential
    std::vector<http_header> headers; ///< end-to-end headers only, without any credential
    std::string body;
    std::string key; ///< what the caller presented; never forwarded or logged
    std::string idempotencyKey; ///< empty if the caller named none
    std::string clientAddress;
    bool isRepeatable = false; ///< the route lets an upstream run it twice; set by the pipeline
    monotonic_time arrivedAt;

    bool operator==(const caller_request&) const = default;
};

} // namespace flamingoroute

#endif
