#ifndef FLAMINGOROUTE_REQUESTS_HTTP_HEADER_HPP
#define FLAMINGOROUTE_REQUESTS_HTTP_HEADER_HPP

#include <string>

namespace flamingoroute {

/// A header field of a request or an answer.
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

} // namespace flamingoroute

#endif
