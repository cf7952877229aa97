#ifndef FLAMINGOROUTE_STORE_OBJECT_PAGE_HPP
#define FLAMINGOROUTE_STORE_OBJECT_PAGE_HPP

#include "flamingoroute/store/fleet_object.hpp"

#include <vector>

namespace flamingoroute {

/// One page of a list of objects.
struct object_page {
    std::vector<fleet_object> objects;
    bool hasMore = false;
    store_revision revision; ///< of the store, to watch from

    bool operator==(const object_page&) const = default;
};

} // namespace flamingoroute

#endif
