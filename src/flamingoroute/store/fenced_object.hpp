#ifndef FLAMINGOROUTE_STORE_FENCED_OBJECT_HPP
#define FLAMINGOROUTE_STORE_FENCED_OBJECT_HPP

#include "flamingoroute/store/stored_object.hpp"

#include <string>

namespace flamingoroute {

/// An object that is only written under a lease, as read from the platform.
struct fenced_object {
    object_version version = 0; ///< zero: the object does not exist yet
    object_version epoch = 0; ///< of the lease under which it was last written
    std::string body;

    bool operator==(const fenced_object&) const = default;
};

} // namespace flamingoroute

#endif
