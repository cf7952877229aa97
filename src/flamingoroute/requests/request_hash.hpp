#ifndef FLAMINGOROUTE_REQUESTS_REQUEST_HASH_HPP
#define FLAMINGOROUTE_REQUESTS_REQUEST_HASH_HPP

#include <string>
#include <vector>

namespace flamingoroute {

/// @param parts texts that are told apart by their lengths, so that no two lists look the same
/// @return the SHA-256 of @p parts as lower-case hex
std::string hashOf(const std::vector<std::string>& parts);

} // namespace flamingoroute

#endif
