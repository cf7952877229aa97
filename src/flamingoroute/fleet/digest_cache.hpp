#ifndef FLAMINGOROUTE_FLEET_DIGEST_CACHE_HPP
#define FLAMINGOROUTE_FLEET_DIGEST_CACHE_HPP

#include "flamingoroute/fleet/fleet_demand.hpp"
#include "flamingoroute/fleet/region_digest.hpp"
#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace flamingoroute {

/// The latest digests of relays. Pure: no I/O, clocks or threads.
class digest_cache {
public:
    explicit digest_cache(region_id localRegion);

    /// @return false if the digest was ignored because a later one of its sender has arrived: an instance that was
    ///         paused forwards late
    bool record(const region_digest& digest, monotonic_time now);

    /// @return the newest sum of each region with its age, without stale ones
    std::vector<region_sum> freshSums(monotonic_time now) const;

    /// @return the tallies of freshSums(), of one region after the other
    std::vector<version_tally> freshTallies(monotonic_time now) const;

    /// @return the demand for @p customer in freshSums()
    fleet_demand demandOf(const customer_id& customer, monotonic_time now) const;

    /// @return the addresses of the relays of @p region whose last digest is fresh
    std::vector<endpoint> relaysOf(const region_id& region, monotonic_time now) const;

    /// @return whether a fresh digest shows a relay of the own region that is connected to the store
    bool hasConnectedRelay(monotonic_time now) const;

    /// @return whether a recent digest shows that the relay @p name of the own region is connected to the store
    bool isConnected(const instance_id& name, monotonic_time now) const;

    /// @return the highest store position of @p kind among the connected relays of the own region, if there are any
    std::optional<store_position> positionOf(const std::string& kind, monotonic_time now) const;

private:
    struct relay_entry {
        region_digest digest;
        monotonic_time at;
    };

    struct sum_entry {
        region_sum sum;
        monotonic_time at; ///< when it was computed, by this instance's clock
    };

    void recordRegionSum(const region_sum& sum, monotonic_time now);
    bool isConnected(const relay_entry& relay, monotonic_time now) const;

    region_id m_localRegion;
    std::map<instance_id, relay_entry> m_relays;
    std::map<region_id, sum_entry> m_sums;
};

} // namespace flamingoroute

#endif
