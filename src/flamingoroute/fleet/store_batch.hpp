#ifndef FLAMINGOROUTE_FLEET_STORE_BATCH_HPP
#define FLAMINGOROUTE_FLEET_STORE_BATCH_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// A change of one store object, forwarded by a relay.
struct relayed_change {
    bool isDeleted = false;
    std::string name;
    std::uint64_t revision = 0;
    std::string specification; ///< JSON; empty if there is none
    std::string status; ///< JSON; empty if there is none

    bool operator==(const relayed_change&) const = default;
    MSGPACK_DEFINE(isDeleted, name, revision, specification, status)
};

/// Changes of one kind that a relay's watch returned.
struct store_batch {
    std::string kind;
    std::uint64_t after = 0; ///< nothing of the kind changed between this revision and the first change
    std::uint64_t revision = 0; ///< of the store after the last change
    std::vector<relayed_change> changes;

    bool operator==(const store_batch&) const = default;
    MSGPACK_DEFINE(kind, after, revision, changes)
};

} // namespace flamingoroute

#endif
