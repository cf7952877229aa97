#ifndef FLAMINGOROUTE_REQUESTS_HEADER_RULES_HPP
#define FLAMINGOROUTE_REQUESTS_HEADER_RULES_HPP

#include "flamingoroute/requests/http_header.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// @return whether two header names are equal, ignoring case
bool isSameHeaderName(const std::string& left, const std::string& right);

/// @return the value of the first header called @p name, or an empty string
std::string headerValue(const std::vector<http_header>& headers, const std::string& name);

/// @return @p headers without hop-by-hop fields, including those listed in a Connection field
std::vector<http_header> endToEndHeaders(const std::vector<http_header>& headers);

/// @return whether a header called @p name may carry a caller's credential
bool isCredentialHeader(const std::string& name);

/// @return @p headers without those that may carry a caller's credential
std::vector<http_header> withoutCredentials(const std::vector<http_header>& headers);

/// @param target path and query
/// @return @p target without `api_key` parameters, in any letter case or percent-encoding
std::string withoutCredentialParameters(const std::string& target);

} // namespace flamingoroute

#endif
