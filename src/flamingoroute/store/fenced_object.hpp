#ifndef FLAMINGOROUTE_STORE_FENCED_OBJECT_HPP
#define FLAMINGOROUTE_STORE_FENCED_OBJECT_HPP

#include "flamingoroute/store/stored_object.hpp"

#include <string>

namespace flamingoroute {

/// An object that is written under a lease only, as it was read.
struct fenced_object {
    object_version version = 0; ///< zero: there is none yet
    object_version epoch = 0; ///< of the lease under which it was last written
    std::string body;

    bool operator==(const fenced_object&) const = default;
};

} // namespace flamingoroute

#endif
