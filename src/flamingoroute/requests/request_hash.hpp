#ifndef FLAMINGOROUTE_REQUESTS_REQUEST_HASH_HPP
#define FLAMINGOROUTE_REQUESTS_REQUEST_HASH_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace flamingoroute {

/// @param parts strings; each is hashed with its length, so that different lists give different input
/// @return the SHA-256 of @p parts as lower-case hex
std::string hashOf(std::initializer_list<std::string_view> parts);

} // namespace flamingoroute

#endif
