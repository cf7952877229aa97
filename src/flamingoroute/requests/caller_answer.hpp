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

/// @return whether HTTP defines the class of @p status
constexpr bool isHttpStatus(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/// @return whether an answer with @p status, one of HTTP, precedes the final answer to the same request
constexpr bool isInterimStatus(int status)
{
    constexpr int firstFinal = 200;
    return status < firstFinal;
}

} // namespace flamingoroute

#endif
