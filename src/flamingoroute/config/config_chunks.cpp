#include "flamingoroute/config/config_chunks.hpp"

#include "flamingoroute/config/content_hash.hpp"
#include "flamingoroute/config/object_codec.hpp"
#include "flamingoroute/config/object_kinds.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr double objectBytesPerHashBytes = 8.0 / 3; ///< size of an object in a chunk relative to a hash in the head
constexpr std::size_t hysteresisFactor = 4;
constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;
constexpr int mixShiftBits = 32;

/// Selects the power of two at or below the count that minimizes the combined size of the head and one chunk, which
/// each change sends again. Keeps @p previous if it is within the hysteresis factor of that count.
std::size_t bucketCountFor(std::size_t objects, std::size_t previous)
{
    const double smallest = std::sqrt(static_cast<double>(objects) * objectBytesPerHashBytes);
    const auto ideal = std::bit_floor(std::max<std::size_t>(1, static_cast<std::size_t>(smallest)));
    const bool isPreviousFit
        = previous > 0 && ideal <= previous * hysteresisFactor && ideal * hysteresisFactor >= previous;
    return isPreviousFit ? previous : ideal;
}

std::size_t previousCount(const std::vector<bucket_list>& previous, const std::string& kind)
{
    for (const auto& list : previous) {
        if (list.kind == kind)
            return list.hashes.size();
    }
    return 0;
}

template <typename Object> std::vector<Object>& listOf(configuration& objects)
{
    std::vector<Object>* found = nullptr;
    visitKinds(objects, [&found](const char*, auto& list) {
        if constexpr (std::is_same_v<std::decay_t<decltype(list)>, std::vector<Object>>)
            found = &list;
    });
    return *found;
}

template <typename Object>
void splitKind(const char* kind, const std::vector<Object>& objects, const std::vector<bucket_list>& previous,
    config_chunks& chunks)
{
    if (objects.empty())
        return;
    std::vector<configuration> parts(bucketCountFor(objects.size(), previousCount(previous, kind)));
    for (const auto& object : objects)
        listOf<Object>(parts[bucketOf(nameOf(object), parts.size())]).push_back(object);
    bucket_list list { kind, std::vector<std::string>(parts.size()) };
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (listOf<Object>(parts[i]).empty())
            continue;
        std::string content = serializeConfiguration(parts[i]);
        list.hashes[i] = contentHash(content);
        chunks.contents.emplace(list.hashes[i], std::move(content));
    }
    chunks.buckets.push_back(std::move(list));
}

} // namespace

std::size_t bucketOf(const std::string& name, std::size_t bucketCount)
{
    std::uint64_t hash = fnvOffset;
    for (const unsigned char byte : name)
        hash = (hash ^ byte) * fnvPrime;
    return (hash ^ (hash >> mixShiftBits)) & (bucketCount - 1);
}

config_chunks splitIntoChunks(const configuration& objects, const std::vector<bucket_list>& previous)
{
    config_chunks chunks;
    visitKinds(objects, [&](const char* kind, const auto& list) { splitKind(kind, list, previous, chunks); });
    return chunks;
}

} // namespace flamingoroute
