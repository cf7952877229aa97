#ifndef FLAMINGOROUTE_STEERING_SLOT_GRANT_HPP
#define FLAMINGOROUTE_STEERING_SLOT_GRANT_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/steering/slot_ceiling.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// All slots that an allocator grants to one instance; an upstream that is not listed is not granted.
struct slot_grant {
    std::string domain; ///< failure domain of the upstreams
    std::uint64_t epoch = 0;
    std::string instance; ///< the recipient
    incarnation instanceIncarnation = 0;
    std::uint64_t number = 0; ///< increases with each grant to this incarnation; zero: only announces the epoch
    std::uint64_t lastReceivedRequest = 0; ///< the lifetime starts when this request was sent
    std::uint64_t lifetimeMs = 0;
    std::uint64_t reportMs = 0; ///< interval of reports of falling demand while slots are scarce; zero: renewals only
    std::uint64_t linkBytes = 0; ///< bytes that may cross the link between the two regions, once
    std::vector<slot_ceiling> ceilings;
    std::vector<std::string> leaving; ///< upstreams that are leaving

    bool operator==(const slot_grant&) const = default;
    MSGPACK_DEFINE(domain, epoch, instance, instanceIncarnation, number, lastReceivedRequest, lifetimeMs, reportMs,
        linkBytes, ceilings, leaving)
};

} // namespace flamingoroute

#endif
