#ifndef FLAMINGOROUTE_FLEET_KIND_POSITION_HPP
#define FLAMINGOROUTE_FLEET_KIND_POSITION_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// The store's revision of the last change of a kind that an instance knows.
struct kind_position {
    std::string kind;
    std::uint64_t revision = 0;

    bool operator==(const kind_position&) const = default;
    MSGPACK_DEFINE(kind, revision)
};

} // namespace flamingoroute

#endif
