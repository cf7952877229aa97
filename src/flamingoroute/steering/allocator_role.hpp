#ifndef FLAMINGOROUTE_STEERING_ALLOCATOR_ROLE_HPP
#define FLAMINGOROUTE_STEERING_ALLOCATOR_ROLE_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace flamingoroute {

/// One run of an instance's process.
using instance_run = std::pair<instance_id, incarnation>;

/// The right to allocate a failure domain's slots, from a fenced lease.
struct allocator_role {
    std::uint64_t epoch = 0; ///< of the lease; increases with each change of holder
    bool isFirst = false; ///< no instance held the role before
    std::vector<instance_run> predecessors; ///< earlier holders that may not have detected the end of their role

    bool operator==(const allocator_role&) const = default;
};

} // namespace flamingoroute

#endif
