#ifndef FLAMINGOROUTE_LIMITS_ALLOCATION_ROW_HPP
#define FLAMINGOROUTE_LIMITS_ALLOCATION_ROW_HPP

#include "flamingoroute/limits/share.hpp"
#include "flamingoroute/model/ids.hpp"

#include <cstdint>

namespace flamingoroute {

/// A share of one incarnation of one instance: a floor, or the pool.
struct allocation_row {
    instance_id instance;
    std::uint64_t holderIncarnation = 0;
    share target; ///< share assigned to the holder
    share reserved; ///< upper bound of its use; lowered only when confirmed, or if the holder is replaced or expired
    std::uint64_t changedIn = 0; ///< table version that set the target

    bool operator==(const allocation_row&) const = default;
};

} // namespace flamingoroute

#endif
