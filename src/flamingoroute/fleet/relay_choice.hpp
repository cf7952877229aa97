#ifndef FLAMINGOROUTE_FLEET_RELAY_CHOICE_HPP
#define FLAMINGOROUTE_FLEET_RELAY_CHOICE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <vector>

namespace flamingoroute {

/// An instance that may be a relay of its region.
struct relay_candidate {
    instance_id name;
    int linkMbps = 0; ///< bandwidth of its network link; 0: unknown
    monotonic_time until = monotonic_time::max(); ///< it stops being a candidate then, unless it reports again

    bool operator==(const relay_candidate&) const = default;
};

/// The relays of a region, valid as long as no candidate changes.
struct relay_choice {
    std::vector<instance_id> names; ///< the first relay first
    bool includesSelf = false;
    monotonic_time validUntil = monotonic_time::max(); ///< when the first candidate stops being one

    bool operator==(const relay_choice&) const = default;
};

/// Picks relays by rendezvous hashing among the candidates whose links have at least half the bandwidth of the widest,
/// or among all if these are too few; the traffic of a relay would saturate a narrower link.
/// @param self the instance that asks; the only relay if there are no candidates
relay_choice chooseRelays(const std::vector<relay_candidate>& candidates, const instance_id& self);

/// @param names of a region of which nothing but the names is known
/// @return the most likely relays among them
std::vector<instance_id> likelyRelays(const std::vector<instance_id>& names);

} // namespace flamingoroute

#endif
