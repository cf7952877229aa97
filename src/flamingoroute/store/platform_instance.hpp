#ifndef FLAMINGOROUTE_STORE_PLATFORM_INSTANCE_HPP
#define FLAMINGOROUTE_STORE_PLATFORM_INSTANCE_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// An entry of the platform's list of instances, which lags behind the actual state.
struct platform_instance {
    instance_id instance;
    bool isLeaving = false;

    bool operator==(const platform_instance&) const = default;
};

} // namespace flamingoroute

#endif
