#ifndef FLAMINGOROUTE_REQUESTS_HEADER_RULES_HPP
#define FLAMINGOROUTE_REQUESTS_HEADER_RULES_HPP

#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// @return whether two header names are the same, case aside
bool isSameHeaderName(const std::string& left, const std::string& right);

/// @return the value of the first header called @p name, or an empty string
std::string headerValue(const std::vector<http_header>& headers, const std::string& name);

/// @return @p headers without hop-by-hop fields, those that a Connection field lists included
std::vector<http_header> endToEndHeaders(const std::vector<http_header>& headers);

/// @return whether a header called @p name may carry a caller's credential
bool isCredentialHeader(const std::string& name);

/// @return @p headers without any that may carry a caller's credential
std::vector<http_header> withoutCredentials(const std::vector<http_header>& headers);

/// @param target path and query
/// @return @p target without any `api_key` parameter, however its name is encoded
std::string withoutCredentialParameters(const std::string& target);

} // namespace flamingoroute

#endif
