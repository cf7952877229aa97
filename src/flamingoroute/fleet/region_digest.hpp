#ifndef FLAMINGOROUTE_FLEET_REGION_DIGEST_HPP
#define FLAMINGOROUTE_FLEET_REGION_DIGEST_HPP

#include "flamingoroute/fleet/kind_position.hpp"
#include "flamingoroute/fleet/member_sight.hpp"
#include "flamingoroute/fleet/region_sum.hpp"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// What a relay tells: its region's sum to the relays of other regions; to the instances of its own region also whom it
/// hears, what it heard of other regions, and how far it has read the store. Sums are most of the bytes, so that not
/// every digest holds them.
struct region_digest {
    std::string sender;
    std::string senderAddress;
    bool hasSums = true; ///< otherwise `sum` names the region only, and `others` is empty
    region_sum sum;
    std::vector<member_sight> members;
    std::vector<region_sum> others;
    bool isStoreConnected = false; ///< the store answered it just now
    std::vector<kind_position> positions;

    bool operator==(const region_digest&) const = default;
    MSGPACK_DEFINE(sender, senderAddress, hasSums, sum, members, others, isStoreConnected, positions)
};

} // namespace flamingoroute

#endif
