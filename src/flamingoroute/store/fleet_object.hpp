#ifndef FLAMINGOROUTE_STORE_FLEET_OBJECT_HPP
#define FLAMINGOROUTE_STORE_FLEET_OBJECT_HPP

#include "flamingoroute/model/store_revision.hpp"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// An object of the platform's API as returned by a watch or a list.
struct fleet_object {
    std::string name;
    store_revision revision; ///< of its last change
    Poco::JSON::Object::Ptr specification; ///< null if missing or not a JSON object
    Poco::JSON::Object::Ptr status; ///< null if missing or not a JSON object
    std::uint64_t contentHash = 0; ///< of specification and status as the store sent them

    bool operator==(const fleet_object&) const = default;
};

} // namespace flamingoroute

#endif
