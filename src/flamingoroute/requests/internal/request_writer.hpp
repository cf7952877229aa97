#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_REQUEST_WRITER_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_REQUEST_WRITER_HPP

#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/requests/caller_request.hpp"

#include <string>

namespace flamingoroute::internal {

/// @param left time until the deadline, passed on to the upstream
/// @return the whole HTTP/1.1 request for @p target, without credentials and hop-by-hop fields
std::string writeRequest(const upstream& target, const caller_request& request, microseconds remaining);

/// @param headers of an upstream's answer
/// @param keepsLength whether Content-Length says something that the body does not, as for HEAD
/// @return those that go on to the caller
std::vector<http_header> headersForCaller(const std::vector<http_header>& headers, bool keepsLength);

} // namespace flamingoroute::internal

#endif
