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
    share target; ///< what the holder is told to use
    share reserved; ///< the most that it may be using; falls only when the holder has confirmed, or surely is gone
    std::uint64_t changedIn = 0; ///< table version that set the target

    bool operator==(const allocation_row&) const = default;
};

} // namespace flamingoroute

#endif
