#ifndef FLAMINGOROUTE_STEERING_INTERNAL_CONNECTION_SUBSET_HPP
#define FLAMINGOROUTE_STEERING_INTERNAL_CONNECTION_SUBSET_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/steering/steering_settings.hpp"

#include <vector>

namespace flamingoroute {

/// Whether an instance may connect to an upstream, so that the connections of the whole fleet stay below the
/// upstream's limit. Instances of the upstream's failure domain come first; rendezvous hashing
/// decides within each group.
/// @param members all instances, @p localInstance included
bool mayConnect(const instance_id& localInstance, const upstream& target, const std::vector<member>& members,
    const steering_settings& settings);

} // namespace flamingoroute

#endif
