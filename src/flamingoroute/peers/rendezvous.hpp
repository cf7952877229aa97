#ifndef FLAMINGOROUTE_PEERS_RENDEZVOUS_HPP
#define FLAMINGOROUTE_PEERS_RENDEZVOUS_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingoroute {

/// Rendezvous hashing: instances that see the same candidates pick the same ones, and a candidate that comes or goes
/// changes the pick only where it takes part.
/// @param purpose separates picks from each other
/// @param count how many to pick
/// @return the picked instances, the first choice first
std::vector<instance_id> pickByRendezvous(
    const std::string& purpose, const std::vector<instance_id>& candidates, std::size_t count);

} // namespace flamingoroute

#endif
