#ifndef FLAMINGOROUTE_STORE_OBJECT_EVENT_HPP
#define FLAMINGOROUTE_STORE_OBJECT_EVENT_HPP

#include "flamingoroute/store/fleet_object.hpp"

#include <vector>

namespace flamingoroute {

/// A change of one object.
struct object_event {
    bool isDeleted = false;
    fleet_object object;

    bool operator==(const object_event&) const = default;
};

/// The result of a watch.
struct object_events {
    std::vector<object_event> events;
    store_revision revision; ///< to continue watching from

    bool operator==(const object_events&) const = default;
};

} // namespace flamingoroute

#endif
