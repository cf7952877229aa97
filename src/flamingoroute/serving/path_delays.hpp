#ifndef FLAMINGOROUTE_SERVING_PATH_DELAYS_HPP
#define FLAMINGOROUTE_SERVING_PATH_DELAYS_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>

namespace flamingoroute {

/// Estimates the round-trip time to each region from connect times. Pure: no I/O, clocks or threads.
class path_delays {
public:
    explicit path_delays(region_id localRegion);

    /// @return the estimated round-trip time; a default until a connect time was recorded
    microseconds to(const region_id& region) const;

    /// Records the connect time to an upstream of @p region.
    void update(const region_id& region, microseconds connectTime);

private:
    region_id m_localRegion;
    std::map<region_id, microseconds> m_delays;
};

} // namespace flamingoroute

#endif
