#ifndef FLAMINGOROUTE_MODEL_REGION_LINK_HPP
#define FLAMINGOROUTE_MODEL_REGION_LINK_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// The link from one region to another.
struct region_link {
    region_id to;
    milliseconds distance { 0 }; ///< round-trip time
    int megabitsPerSecond = 1000; ///< in each direction

    bool operator==(const region_link&) const = default;
};

} // namespace flamingoroute

#endif
