#ifndef FLAMINGOROUTE_CONFIG_CONFIG_ASSEMBLY_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_ASSEMBLY_HPP

#include "flamingoroute/config/config_head.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/error.hpp"

#include <tl/expected.hpp>

#include <set>
#include <string>

namespace flamingoroute {

/// @return the hashes of all chunks that @p head refers to
std::set<std::string> hashesOf(const config_head& head);

/// @param content of a chunk
/// @param hash expected hash of the content
/// @return the objects in the chunk, or `invalid_input`
tl::expected<configuration, error> parseChunk(const std::string& content, const std::string& hash);

/// Appends the objects of @p part; the result is not sorted.
void appendObjects(configuration& objects, const configuration& part);

} // namespace flamingoroute

#endif
