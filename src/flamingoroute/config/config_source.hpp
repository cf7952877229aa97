#ifndef FLAMINGOROUTE_CONFIG_CONFIG_SOURCE_HPP
#define FLAMINGOROUTE_CONFIG_CONFIG_SOURCE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <compare>

namespace flamingoroute {

/// A source of content for a replica: a process of an instance, or the platform's store if `instance` is empty.
struct config_source {
    instance_id instance;
    process_role role = process_role::entry;

    bool isStore() const { return instance.empty(); }

    auto operator<=>(const config_source&) const = default;
    bool operator==(const config_source&) const = default;
};

} // namespace flamingoroute

#endif
