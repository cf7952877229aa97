#ifndef FLAMINGOROUTE_PLACEMENT_PLACEMENT_HPP
#define FLAMINGOROUTE_PLACEMENT_PLACEMENT_HPP

#include "flamingoroute/placement/placement_candidate.hpp"
#include "flamingoroute/placement/placement_request.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace flamingoroute {

/// Where a request goes, or that it is refused.
struct placement_choice {
    std::optional<std::size_t> index; ///< of the candidate; empty: refused for want of room
    microseconds expected { 0 }; ///< until the answer, at the candidate that would be the fastest
    microseconds wait { 0 }; ///< the part of it spent in the upstream's queue
    microseconds baseline {
        0
    }; ///< the most that a sound upstream would take, whether it has the object at hand or not

    bool operator==(const placement_choice&) const = default;
};

/// Chooses the upstream for a request.
///
/// Objects are spread by weighted rendezvous hashing: each object has its own order of all upstreams, and it stays with
/// the first, which handled it lately and needs a fraction of the work, until that one's queue costs more than the work
/// saved. Answers the load of a day whose work without this is more than all slots.
/// A request that would wait so long that its answer would be late is refused at once.
placement_choice choosePlacement(const placement_request& request, const std::vector<placement_candidate>& candidates);

/// @return the candidates' indexes in the order of preference of an object
std::vector<std::size_t> preferenceOrder(std::uint64_t objectHash, const std::vector<placement_candidate>& candidates);

} // namespace flamingoroute

#endif
