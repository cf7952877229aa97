#ifndef FLAMINGOROUTE_STORE_STORE_POSITION_HPP
#define FLAMINGOROUTE_STORE_STORE_POSITION_HPP

#include "flamingoroute/model/store_revision.hpp"

#include <msgpack.hpp>

#include <cstdint>

namespace flamingoroute {

/// The revision up to which the objects of one kind are known, and a content hash by which two instances detect that
/// they have the same objects.
struct store_position {
    store_revision revision; ///< of the store, up to which all changes are known
    std::uint64_t contentHash = 0; ///< of the names, revision numbers and contents of all objects

    bool operator==(const store_position&) const = default;
    // The era comes last: earlier releases send and expect none.
    MSGPACK_DEFINE(revision.number, contentHash, revision.era)
};

} // namespace flamingoroute

#endif
