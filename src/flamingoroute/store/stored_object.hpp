#ifndef FLAMINGOROUTE_STORE_STORED_OBJECT_HPP
#define FLAMINGOROUTE_STORE_STORED_OBJECT_HPP

#include <cstdint>
#include <string>

namespace flamingoroute {

/// The platform's version of one object. It increases with each write to the object and is never reused.
using object_version = std::uint64_t;

/// An object of the platform's API as read from the platform.
struct stored_object {
    std::string kind;
    std::string name;
    object_version version = 0;
    std::string value;

    bool operator==(const stored_object&) const = default;
};

} // namespace flamingoroute

#endif
