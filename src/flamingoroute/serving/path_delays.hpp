#ifndef FLAMINGOROUTE_SERVING_PATH_DELAYS_HPP
#define FLAMINGOROUTE_SERVING_PATH_DELAYS_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>

namespace flamingoroute {

/// Learns the time to each region and back from how long connecting takes. Pure.
class path_delays {
public:
    explicit path_delays(region_id own);

    /// @return the time there and back
    microseconds to(const region_id& region) const;

    /// Told how long it took to connect to an upstream of @p region.
    void update(const region_id& region, microseconds connectTime);

private:
    region_id m_own;
    std::map<region_id, microseconds> m_delays;
};

} // namespace flamingoroute

#endif
