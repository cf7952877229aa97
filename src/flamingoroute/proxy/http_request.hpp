#ifndef FLAMINGOROUTE_PROXY_HTTP_REQUEST_HPP
#define FLAMINGOROUTE_PROXY_HTTP_REQUEST_HPP

#include "flamingoroute/proxy/shared_body.hpp"
#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// A complete HTTP request.
struct http_request {
    std::string method;
    std::string target; ///< path and query
    std::vector<http_header> headers;
    shared_body body;
    bool isKeepAlive = true;

    bool operator==(const http_request&) const = default;
};

} // namespace flamingoroute

#endif
