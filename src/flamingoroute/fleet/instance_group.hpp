#ifndef FLAMINGOROUTE_FLEET_INSTANCE_GROUP_HPP
#define FLAMINGOROUTE_FLEET_INSTANCE_GROUP_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstdint>
#include <vector>

namespace flamingoroute {

/// Names of instances, with a revision by which results that depend on them only can be cached.
struct instance_group {
    std::uint64_t revision = 0; ///< two groups of one index with the same revision have the same names
    std::vector<instance_id> names; ///< sorted

    bool operator==(const instance_group&) const = default;
};

} // namespace flamingoroute

#endif
