#ifndef FLAMINGOROUTE_CONFIG_CONFIG_SOURCE_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_SOURCE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <compare>

namespace flamingoroute {

/// Whom a replica takes content from: a process of an instance, or the platform's store if no instance is named.
struct config_source {
    instance_id instance;
    process_role role = process_role::entry;

    bool isStore() const { return instance.empty(); }

    auto operator<=>(const config_source&) const = default;
    bool operator==(const config_source&) const = default;
};

} // namespace flamingoroute

#endif
