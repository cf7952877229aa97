#ifndef FLAMINGOROUTE_FLEET_REGION_DIGEST_HPP
#define FLAMINGOROUTE_FLEET_REGION_DIGEST_HPP

#include "flamingoroute/fleet/kind_position.hpp"
#include "flamingoroute/fleet/member_readiness.hpp"
#include "flamingoroute/fleet/region_sum.hpp"
#include "flamingoroute/fleet/upstream_load.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// The message of a relay. It carries the sum of its region to the relays of other regions. To the instances of its own
/// region it also carries the readiness of members, the sums of other regions and how far the relay has read the store.
/// Sums are most of the bytes, so not every digest includes them.
struct region_digest {
    std::string sender;
    std::string senderAddress;
    bool hasSums = true; ///< otherwise `sum` names the region only, and `others` is empty
    region_sum sum;
    std::vector<member_readiness> members;
    std::vector<region_sum> others;
    bool isStoreConnected = false; ///< the store answered the relay recently
    std::vector<kind_position> positions;
    std::uint64_t incarnation = 0; ///< of the sender's process
    std::uint64_t number = 0; ///< increases with each digest of the process
    std::vector<upstream_load> loads; ///< that instances of the region have reported since the last digest

    bool operator==(const region_digest&) const = default;
    MSGPACK_DEFINE(
        sender, senderAddress, hasSums, sum, members, others, isStoreConnected, positions, incarnation, number, loads)
};

} // namespace flamingoroute

#endif
