#ifndef FLAMINGOROUTE_SERVING_NEAR_INSTANCES_HPP
#define FLAMINGOROUTE_SERVING_NEAR_INSTANCES_HPP

#include "flamingoroute/placement/limit_share.hpp"

namespace flamingoroute {

struct instance_group;
struct serving_state;
struct upstream_state;

/// @return the instances of the upstream's region, the same list on each of them; this one if there are none
const instance_group& nearInstances(const serving_state& state, const upstream_state& upstream);

/// @return this instance's share of the limit that @p upstream named; the upstream must have named one
limit_share limitShareFor(const serving_state& state, const upstream_state& upstream);

} // namespace flamingoroute

#endif
