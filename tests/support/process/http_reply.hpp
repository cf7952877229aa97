#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_HTTP_REPLY_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_HTTP_REPLY_HPP

#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Result of a call; status 0 if no complete answer was received.
struct http_reply {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    std::string failure; ///< why no complete answer was received

    /// @return the value of the header (names are case-insensitive), or empty
    std::string header(const std::string& name) const;
};

} // namespace flamingoroute::testing

#endif
