#ifndef FLAMINGOROUTE_CONFIG_BUCKET_LIST_HPP
#define FLAMINGOROUTE_CONFIG_BUCKET_LIST_HPP

#include <string>
#include <vector>

namespace flamingoroute {

/// The chunks of one kind. The hash of an object's name selects its bucket.
struct bucket_list {
    std::string kind;
    std::vector<std::string> hashes; ///< by bucket; an empty string for an empty bucket. The size is a power of two.

    bool operator==(const bucket_list&) const = default;
};

} // namespace flamingoroute

#endif
