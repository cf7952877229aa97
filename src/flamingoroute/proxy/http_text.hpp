#ifndef FLAMINGOROUTE_PROXY_HTTP_TEXT_HPP
#define FLAMINGOROUTE_PROXY_HTTP_TEXT_HPP

#include "flamingoroute/proxy/http_request.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <string>

namespace flamingoroute {

/// @return the head of @p request as HTTP/1.1 text without hop-by-hop headers, and with a Content-Length except for GET
///         and HEAD without a body
std::string serializeHead(const http_request& request);

/// @return @p answer as HTTP/1.1 text without hop-by-hop headers, and with a Content-Length except for 204 and 304
/// @param answer for 204 and 304 its body must be empty
/// @param isKeepAlive whether the connection stays open after it
/// @param includeBody false for an answer to HEAD
std::string serializeHttp(const caller_answer& answer, bool isKeepAlive, bool includeBody);

} // namespace flamingoroute

#endif
