#ifndef FLAMINGOROUTE_CONFIG_BUCKET_LIST_HPP
#define FLAMINGOROUTE_CONFIG_BUCKET_LIST_HPP

#include <string>
#include <vector>

namespace flamingoroute {

/// The chunks of one kind. An object lies in the bucket that the hash of its name picks.
struct bucket_list {
    std::string kind;
    std::vector<std::string> hashes; ///< by bucket; empty for an empty bucket. The size is a power of two.

    bool operator==(const bucket_list&) const = default;
};

} // namespace flamingoroute

#endif
