#ifndef FLAMINGOROUTE_STEERING_SLOT_REQUEST_HPP
#define FLAMINGOROUTE_STEERING_SLOT_REQUEST_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/steering/slot_entry.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// The slots of a failure domain's upstreams that an instance holds, and its demand: a request, a renewal and a return
/// in one. It lists every upstream of which the instance holds slots.
struct slot_request {
    std::string domain; ///< failure domain of the upstreams
    std::string instance; ///< the sender
    incarnation instanceIncarnation = 0;
    std::string instanceRegion;
    bool isLocal = false; ///< the sender is in the same failure domain
    std::uint64_t number = 0; ///< increases with each request of this incarnation to this failure domain
    std::uint64_t epoch = 0; ///< the highest seen; grants of lower epochs are ignored from now on
    std::uint64_t heldEpoch = 0; ///< of the grants that `held` comes from
    std::uint64_t lastReceivedGrant = 0; ///< number of the last grant of heldEpoch received
    std::uint64_t linkBytesWanted = 0;
    std::uint64_t endedEpoch = 0; ///< of the allocator role that the sender has ended; zero if none
    bool isForwarded = false;
    std::vector<slot_entry> entries;
    std::vector<std::string> leaving; ///< upstreams that reported that they are leaving

    bool operator==(const slot_request&) const = default;
    MSGPACK_DEFINE(domain, instance, instanceIncarnation, instanceRegion, isLocal, number, epoch, heldEpoch,
        lastReceivedGrant, linkBytesWanted, endedEpoch, isForwarded, entries, leaving)
};

} // namespace flamingoroute

#endif
