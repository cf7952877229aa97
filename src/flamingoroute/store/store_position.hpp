#ifndef FLAMINGOROUTE_STORE_STORE_POSITION_HPP
#define FLAMINGOROUTE_STORE_STORE_POSITION_HPP

#include <msgpack.hpp>

#include <cstdint>

namespace flamingoroute {

/// The revision up to which the objects of one kind are known, and a content hash by which two instances detect that
/// they have the same objects.
struct store_position {
    std::uint64_t revision = 0; ///< of the store, up to which all changes are known
    std::uint64_t contentHash = 0; ///< of the names and revisions of all objects

    bool operator==(const store_position&) const = default;
    MSGPACK_DEFINE(revision, contentHash)
};

} // namespace flamingoroute

#endif
