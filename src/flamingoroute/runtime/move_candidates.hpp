#ifndef FLAMINGOROUTE_RUNTIME_MOVE_CANDIDATES_HPP
#define FLAMINGOROUTE_RUNTIME_MOVE_CANDIDATES_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstddef>
#include <vector>

namespace flamingoroute {

/// Number of instances that compete for the lease of a move; entries report to these. Correctness does not depend on
/// which instances they are.
constexpr std::size_t moveLeaderCount = 2;

/// Ranks instances for a move by rendezvous hashing, so that instances with the same member list agree.
/// @return the first @p count of @p members, best first
std::vector<instance_id> moveCandidates(const move_id& move, std::vector<instance_id> members, std::size_t count);

} // namespace flamingoroute

#endif
