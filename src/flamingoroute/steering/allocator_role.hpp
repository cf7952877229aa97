#ifndef FLAMINGOROUTE_STEERING_ALLOCATOR_ROLE_HPP
#define FLAMINGOROUTE_STEERING_ALLOCATOR_ROLE_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace flamingoroute {

/// One run of an instance's process.
using instance_run = std::pair<instance_id, incarnation>;

/// The right to give out a failure domain's slots, from a fenced lease.
struct allocator_role {
    std::uint64_t epoch = 0; ///< of the lease; grows with each change of holder
    bool isFirst = false; ///< nobody ever held the role before
    std::vector<instance_run> predecessors; ///< who held the role and may not know yet that it is over

    bool operator==(const allocator_role&) const = default;
};

} // namespace flamingoroute

#endif
