#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_HTTP_REPLY_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_HTTP_REPLY_HPP

#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute::testing {

/// What came back for a call; status 0 if no whole answer came.
struct http_reply {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    std::string failure; ///< why no answer came

    /// @return the value of the header, or empty
    std::string header(const std::string& name) const;
};

} // namespace flamingoroute::testing

#endif
