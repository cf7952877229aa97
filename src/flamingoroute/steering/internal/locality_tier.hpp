#ifndef FLAMINGOROUTE_STEERING_INTERNAL_LOCALITY_TIER_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_LOCALITY_TIER_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// Upstreams of one service version that are equally far away.
struct locality_tier {
    milliseconds distance { 0 }; ///< round-trip time
    region_id region;
    bool isOtherRegion = false;
    std::vector<const upstream*> upstreams; ///< point into the configuration

    bool operator==(const locality_tier&) const = default;
};

/// @return the tiers as seen from a failure domain, nearest first: the domain, its region, other regions
std::vector<locality_tier> localityTiers(const configuration& current, const service_id& service,
    const version_id& version, const failure_domain_id& domain, const region_id& region);

/// @return the region of @p domain; empty if unknown
region_id regionOfDomain(const configuration& current, const failure_domain_id& domain);

/// @return the link between two regions, in either direction; null if there is none
const region_link* findLink(const configuration& current, const region_id& from, const region_id& to);

} // namespace flamingoroute

#endif
