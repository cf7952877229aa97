#ifndef FLAMINGOROUTE_PEERS_RENDEZVOUS_HPP
#define FLAMINGOROUTE_PEERS_RENDEZVOUS_HPP

#include "flamingoroute/model/ids.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingoroute {

/// Rendezvous hashing: instances with the same candidates pick the same ones, and adding or removing a candidate
/// changes only picks that include it.
/// @param purpose part of the hash, so that picks for different purposes are independent
/// @param count number of instances to pick
/// @return the picked instances, highest weight first
std::vector<instance_id> pickByRendezvous(
    const std::string& purpose, const std::vector<instance_id>& candidates, std::size_t count);

} // namespace flamingoroute

#endif
