#ifndef FLAMINGOROUTE_CONFIG_CONFIG_CHUNKS_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_CHUNKS_HPP

#include "flamingoroute/config/bucket_list.hpp"
#include "flamingoroute/model/configuration.hpp"

#include <map>
#include <string>
#include <vector>

namespace flamingoroute {

/// A configuration split into immutable chunks, each named by the hash of its content.
struct config_chunks {
    std::vector<bucket_list> buckets;
    std::map<std::string, std::string> contents; ///< by hash
};

/// @param bucketCount a power of two
/// @return the bucket of an object, the same on every machine
std::size_t bucketOf(const std::string& name, std::size_t bucketCount);

/// Splits a configuration into chunks. The number of chunks per kind keeps the head and one chunk, which each change
/// sends again, small.
/// @param previous the active buckets; their counts are kept while they are within a factor of four of the optimum
config_chunks splitIntoChunks(const configuration& objects, const std::vector<bucket_list>& previous);

} // namespace flamingoroute

#endif
