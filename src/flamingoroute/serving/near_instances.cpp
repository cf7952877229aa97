#include "flamingoroute/serving/near_instances.hpp"

#include "flamingoroute/serving/serving_state.hpp"

namespace flamingoroute {

const instance_group& nearInstances(const serving_state& state, const upstream_state& upstream)
{
    const auto& near = state.members.instancesIn(upstream.region);
    return near.names.empty() ? state.selfOnly : near;
}

limit_share limitShareFor(const serving_state& state, const upstream_state& upstream)
{
    return limitShareOf(state.settings.instance, upstream.registration.name, upstream.requestLimit.value_or(0),
        nearInstances(state, upstream).names, state.members.size());
}

} // namespace flamingoroute
