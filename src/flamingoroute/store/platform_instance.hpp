#ifndef FLAMINGOROUTE_STORE_PLATFORM_INSTANCE_HPP
#define FLAMINGOROUTE_STORE_PLATFORM_INSTANCE_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// A line of the platform's list of instances, which lags behind the truth.
struct platform_instance {
    instance_id instance;
    bool isLeaving = false;

    bool operator==(const platform_instance&) const = default;
};

} // namespace flamingoroute

#endif
