#ifndef FLAMINGOROUTE_STORE_OBJECT_CHANGE_HPP
#define FLAMINGOROUTE_STORE_OBJECT_CHANGE_HPP

#include "flamingoroute/store/stored_object.hpp"

namespace flamingoroute {

/// One change returned by a watch of an object_store.
struct object_change {
    std::uint64_t sequence = 0; ///< position in the platform's sequence of all changes
    bool isDeleted = false;
    stored_object object;

    bool operator==(const object_change&) const = default;
};

} // namespace flamingoroute

#endif
