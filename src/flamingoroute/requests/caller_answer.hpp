#ifndef FLAMINGOROUTE_REQUESTS_CALLER_ANSWER_HPP
#define FLAMINGOROUTE_REQUESTS_CALLER_ANSWER_HPP

#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// A complete HTTP answer for a caller.
struct caller_answer {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;

    bool operator==(const caller_answer&) const = default;
};

} // namespace flamingoroute

#endif
