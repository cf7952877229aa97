#ifndef FLAMINGOROUTE_STORE_STORE_POSITION_HPP
#define FLAMINGOROUTE_STORE_STORE_POSITION_HPP

#include <msgpack.hpp>

#include <cstdint>

namespace flamingoroute {

/// How far the objects of one kind are known, and a hash by which two instances see that they know the same.
struct store_position {
    std::uint64_t revision = 0; ///< of the store, up to which all changes are known
    std::uint64_t contentHash = 0; ///< of the names and revisions of all objects

    bool operator==(const store_position&) const = default;
    MSGPACK_DEFINE(revision, contentHash)
};

} // namespace flamingoroute

#endif
