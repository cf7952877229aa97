#include "flamingoroute/config/config_assembly.hpp"

#include "flamingoroute/config/content_hash.hpp"
#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/config/object_kinds.hpp"

namespace flamingoroute {

std::set<std::string> hashesOf(const config_head& head)
{
    std::set<std::string> result;
    for (const auto& list : head.buckets)
        result.insert(list.hashes.begin(), list.hashes.end());
    result.erase("");
    return result;
}

tl::expected<configuration, error> parseChunk(const std::string& content, const std::string& hash)
{
    if (contentHash(content) != hash)
        return tl::unexpected(
            error { error_code::invalid_input, "config.chunk", hash, "content does not match its hash" });
    auto part = parseConfiguration(content, hash);
    if (!part)
        return tl::unexpected(error { error_code::invalid_input, "config.chunk", hash, describe(part.error()) });
    return std::move(*part);
}

void appendObjects(configuration& objects, const configuration& part)
{
    visitKinds(objects, [&part](const char*, auto& list) {
        visitKinds(part, [&list](const char*, const auto& other) {
            if constexpr (std::is_same_v<std::decay_t<decltype(list)>, std::decay_t<decltype(other)>>)
                list.insert(list.end(), other.begin(), other.end());
        });
    });
}

} // namespace flamingoroute
