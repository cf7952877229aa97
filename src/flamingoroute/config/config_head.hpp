#ifndef FLAMINGOROUTE_CONFIG_CONFIG_HEAD_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_HEAD_HPP

#include "flamingoroute/config/bucket_list.hpp"
#include "flamingoroute/config/config_position.hpp"
#include "flamingoroute/config/publication_id.hpp"
#include "flamingoroute/model/error.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// Kinds and name of the platform objects that hold the configuration.
inline constexpr const char* configHeadKind = "config_head";
inline constexpr const char* configHeadName = "head";
inline constexpr const char* configChunkKind = "config_chunk";

/// The object whose conditional update publishes a configuration.
struct config_head {
    revision number = 0;
    publication_id publication;
    /// The last revisions, newest first, so that a writer whose response was lost can detect that its publication
    /// succeeded, even after later ones.
    std::vector<publication_id> earlierPublications;
    std::vector<bucket_list> buckets;

    bool operator==(const config_head&) const = default;
};

/// @return @p head serialized as stored on the platform and sent between peers
std::string encodeHead(const config_head& head);

/// @return the head, or `invalid_input`
tl::expected<config_head, error> parseHead(const std::string& value);

/// @param value the serialized head
/// @return revision and hash of the head
config_position positionOf(const config_head& head, const std::string& value);

} // namespace flamingoroute

#endif
