#ifndef FLAMINGOROUTE_CONFIG_PUBLISHED_CONFIG_HPP
#define FLAMINGOROUTE_CONFIG_PUBLISHED_CONFIG_HPP

#include "flamingoroute/config/config_head.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/store/stored_object.hpp"

namespace flamingoroute {

/// The configuration that is stored on the platform.
struct published_config {
    config_head head;
    object_version headVersion = 0; ///< zero: nothing was ever published
    configuration objects;
};

} // namespace flamingoroute

#endif
