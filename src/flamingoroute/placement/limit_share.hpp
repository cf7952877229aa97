#ifndef FLAMINGOROUTE_PLACEMENT_LIMIT_SHARE_HPP
#define FLAMINGOROUTE_PLACEMENT_LIMIT_SHARE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>
#include <vector>

namespace flamingoroute {

/// One instance's share of the rate that an upstream accepts from the whole fleet.
struct limit_share {
    microseconds interval { 0 }; ///< between two requests, on average
    int burst = 1; ///< requests that may follow each other at once

    bool operator==(const limit_share&) const = default;
};

/// Splits an upstream's rate without communication: a few instances near the upstream, picked by rendezvous hashing,
/// share most of it, so that none gets too little to be useful and their bursts add up to little. All others together
/// get a small part, by which they notice that the limit was lifted. Pure: no I/O, clocks or threads.
/// @param perSecond requests per second that the upstream accepts from all instances together
/// @param near instances that usually send to the upstream; should be the same list on each of them
/// @param fleetSize number of all instances, at least the size of @p near
limit_share limitShareOf(const instance_id& localInstance, const upstream_id& upstream, double perSecond,
    const std::vector<instance_id>& near, std::size_t fleetSize);

} // namespace flamingoroute

#endif
