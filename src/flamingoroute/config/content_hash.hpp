#ifndef FLAMINGOROUTE_CONFIG_CONTENT_HASH_HPP
#define FLAMINGOROUTE_CONFIG_CONTENT_HASH_HPP

#include <string>

namespace flamingoroute {

/// @return the first 128 bits of the SHA-256 of @p content as lower-case hex; used as the name of immutable content
std::string contentHash(const std::string& content);

} // namespace flamingoroute

#endif
