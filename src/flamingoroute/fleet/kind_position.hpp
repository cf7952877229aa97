#ifndef FLAMINGOROUTE_FLEET_KIND_POSITION_HPP
#define FLAMINGOROUTE_FLEET_KIND_POSITION_HPP

#include "flamingoroute/store/store_position.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// The store position up to which an instance has the objects of a kind.
struct kind_position {
    std::string kind;
    store_position position;

    bool operator==(const kind_position&) const = default;
    MSGPACK_DEFINE(kind, position)
};

} // namespace flamingoroute

#endif
