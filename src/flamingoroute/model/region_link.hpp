#ifndef FLAMINGOROUTE_MODEL_REGION_LINK_HPP
#define FLAMINGOROUTE_MODEL_REGION_LINK_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// The link from one region to another.
struct region_link {
    region_id to;
    milliseconds distance { 0 }; ///< one round trip
    int megabitsPerSecond = 1000; ///< each way

    bool operator==(const region_link&) const = default;
};

} // namespace flamingoroute

#endif
