#include "flamingoroute/serving/near_instances.hpp"

#include "flamingoroute/serving/serving_state.hpp"

namespace flamingoroute {

std::vector<instance_id> nearInstances(const serving_state& state, const upstream_state& upstream)
{
    auto near = state.members.instancesIn(upstream.region);
    if (near.empty())
        near.push_back(state.settings.instance);
    return near;
}

limit_share limitShareFor(const serving_state& state, const upstream_state& upstream)
{
    return limitShareOf(state.settings.instance, upstream.registration.name, upstream.requestLimit.value_or(0),
        nearInstances(state, upstream), state.members.size());
}

} // namespace flamingoroute
