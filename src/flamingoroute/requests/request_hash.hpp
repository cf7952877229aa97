#ifndef FLAMINGOROUTE_REQUESTS_REQUEST_HASH_HPP
#define FLAMINGOROUTE_REQUESTS_REQUEST_HASH_HPP

#include <string>
#include <vector>

namespace flamingoroute {

/// @param parts strings; each is hashed with its length, so that different lists give different input
/// @return the SHA-256 of @p parts as lower-case hex
std::string hashOf(const std::vector<std::string>& parts);

} // namespace flamingoroute

#endif
