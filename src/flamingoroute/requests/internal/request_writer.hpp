#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_REQUEST_WRITER_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_REQUEST_WRITER_HPP

#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/requests/caller_request.hpp"

#include <string>

namespace flamingoroute::internal {

/// @param remaining time until the deadline, sent to the upstream as Request-Deadline-Ms
/// @return the complete HTTP/1.1 request for @p target, without credentials and hop-by-hop fields
std::string serializeRequest(const upstream& target, const caller_request& request, microseconds remaining);

/// @param headers header fields of an upstream's answer
/// @param keepsLength whether Content-Length is forwarded because the body does not show it, as for HEAD
/// @return the header fields to forward to the caller
std::vector<http_header> headersForCaller(const std::vector<http_header>& headers, bool keepsLength);

} // namespace flamingoroute::internal

#endif
