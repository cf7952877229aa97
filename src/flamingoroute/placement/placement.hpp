#ifndef FLAMINGOROUTE_PLACEMENT_PLACEMENT_HPP
#define FLAMINGOROUTE_PLACEMENT_PLACEMENT_HPP

#include "flamingoroute/placement/placement_candidate.hpp"
#include "flamingoroute/placement/placement_request.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace flamingoroute {

/// Result of a placement: the chosen candidate, or a refusal.
struct placement_choice {
    std::optional<std::size_t> index; ///< of the chosen candidate; empty: refused, no capacity
    microseconds expected { 0 }; ///< time until the answer, at the candidate with the lowest cost
    microseconds wait { 0 }; ///< part of expected that is spent in the upstream's queue
    /// Longest time that a healthy upstream would take: with the cold time unless it is known to be warm.
    microseconds baseline { 0 };

    bool operator==(const placement_choice&) const = default;
};

/// Chooses the upstream for a request.
///
/// Objects are distributed by weighted rendezvous hashing: each object has its own order of preference over all
/// upstreams. It stays with the first one, which recently handled it and needs a fraction of the work, until waiting in
/// that upstream's queue costs more than the work saved. Without this affinity, the work of peak load exceeds all
/// slots. A request is refused at once if it would wait longer than its share of the objective, or would be queued and
/// answered too late.
placement_choice choosePlacement(const placement_request& request, const std::vector<placement_candidate>& candidates);

/// Candidates evaluated per request, in the object's order of preference; later ones are cold for the object anyway.
inline constexpr std::size_t maxEvaluatedCandidates = 4;

/// @param count the longest result
/// @return the indexes of the first candidates in the object's order of preference, which depends on their names and
///         weights only
std::vector<std::size_t> preferenceOrder(
    std::uint64_t objectHash, const std::vector<placement_candidate>& candidates, std::size_t count);

} // namespace flamingoroute

#endif
