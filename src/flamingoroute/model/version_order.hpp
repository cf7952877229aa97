#ifndef FLAMINGOROUTE_MODEL_VERSION_ORDER_HPP
#define FLAMINGOROUTE_MODEL_VERSION_ORDER_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/store_revision.hpp"

namespace flamingoroute {

enum class version_order_state {
    running,
    completed,
    rolled_back,
};

/// The operator's order to move a service's requests to a version, and its progress.
struct version_order {
    service_id service;
    version_id target;
    milliseconds duration { 0 }; ///< from the order to its deadline
    version_order_state state = version_order_state::running;
    bool isStateWritten = false; ///< the store contains the state, not only the order
    store_revision revision; ///< of the object, for a conditional write

    bool operator==(const version_order&) const = default;
};

/// @return the state's name in logs
inline const char* toString(version_order_state state)
{
    switch (state) {
    case version_order_state::running:
        return "running";
    case version_order_state::completed:
        return "completed";
    case version_order_state::rolled_back:
        return "rolled_back";
    }
    return "running";
}

} // namespace flamingoroute

#endif
