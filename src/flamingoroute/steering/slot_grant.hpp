#ifndef FLAMINGOROUTE_STEERING_SLOT_GRANT_HPP
#define FLAMINGOROUTE_STEERING_SLOT_GRANT_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/steering/slot_ceiling.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// All that an allocator grants to one instance; what is not named is not granted.
struct slot_grant {
    std::string domain; ///< whose upstreams
    std::uint64_t epoch = 0;
    std::string instance; ///< to whom
    incarnation instanceIncarnation = 0;
    std::uint64_t number = 0; ///< grows with each grant to this incarnation; zero only tells the epoch
    std::uint64_t requestSeen = 0; ///< the life counts from when this request was sent
    std::uint64_t lifeMs = 0;
    std::uint64_t reportMs = 0; ///< slots are scarce: report falling demand this often; zero: with renewals only
    std::uint64_t linkBytes = 0; ///< may cross the link between the two regions, once
    std::vector<slot_ceiling> ceilings;
    std::vector<std::string> leaving; ///< upstreams that said that they are leaving

    bool operator==(const slot_grant&) const = default;
    MSGPACK_DEFINE(domain, epoch, instance, instanceIncarnation, number, requestSeen, lifeMs, reportMs, linkBytes,
        ceilings, leaving)
};

} // namespace flamingoroute

#endif
