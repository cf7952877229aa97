#ifndef FLAMINGOROUTE_FLEET_STORE_BATCH_HPP
#define FLAMINGOROUTE_FLEET_STORE_BATCH_HPP

#include "flamingoroute/model/store_revision.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// A change of one store object, forwarded by a relay.
struct relayed_change {
    bool isDeleted = false;
    std::string name;
    store_revision revision;
    std::string specification; ///< JSON; empty if there is none
    std::string status; ///< JSON; empty if there is none
    std::uint64_t contentHash = 0; ///< of the object as the relay received it

    bool operator==(const relayed_change&) const = default;
    MSGPACK_DEFINE(isDeleted, name, revision.number, specification, status, revision.era, contentHash)
};

/// Changes of one kind that a relay's watch returned.
struct store_batch {
    std::string kind;
    store_revision after; ///< nothing of the kind changed between this revision and the first change
    store_revision revision; ///< of the store after the last change
    std::vector<relayed_change> changes;

    bool operator==(const store_batch&) const = default;
    MSGPACK_DEFINE(kind, after.number, revision.number, changes, after.era, revision.era)
};

} // namespace flamingoroute

#endif
