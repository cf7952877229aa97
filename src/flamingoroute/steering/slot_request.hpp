#ifndef FLAMINGOROUTE_STEERING_SLOT_REQUEST_HPP
#define FLAMINGOROUTE_STEERING_SLOT_REQUEST_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/steering/slot_entry.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// What an instance holds and wants of a failure domain's upstreams: a request, a renewal and a return in one.
/// It names every upstream of which the instance holds slots.
struct slot_request {
    std::string domain; ///< whose upstreams
    std::string instance; ///< who asks
    incarnation instanceIncarnation = 0;
    std::string instanceRegion;
    bool isLocal = false; ///< the asking instance is of the same failure domain
    std::uint64_t number = 0; ///< grows with each request of this incarnation to this failure domain
    std::uint64_t epoch = 0; ///< the highest seen; grants of lower epochs are refused from now on
    std::uint64_t heldEpoch = 0; ///< of the grants that `have` stems from
    std::uint64_t grantSeen = 0; ///< number of the last grant of heldEpoch taken in
    std::uint64_t linkBytesWanted = 0;
    std::uint64_t endedEpoch = 0; ///< of the allocator's role that the sender has given up; zero if none
    bool isForwarded = false;
    std::vector<slot_entry> entries;
    std::vector<std::string> leaving; ///< upstreams that said that they are leaving

    bool operator==(const slot_request&) const = default;
    MSGPACK_DEFINE(domain, instance, instanceIncarnation, instanceRegion, isLocal, number, epoch, heldEpoch, grantSeen,
        linkBytesWanted, endedEpoch, isForwarded, entries, leaving)
};

} // namespace flamingoroute

#endif
