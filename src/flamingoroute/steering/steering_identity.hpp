#ifndef FLAMINGOROUTE_STEERING_STEERING_IDENTITY_HPP
#define FLAMINGOROUTE_STEERING_STEERING_IDENTITY_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// The identity of the steering instance and its location.
struct steering_identity {
    instance_id instance;
    incarnation localIncarnation = 0;
    failure_domain_id failureDomain;
    region_id region;

    bool operator==(const steering_identity&) const = default;
};

} // namespace flamingoroute

#endif
