#ifndef FLAMINGOROUTE_LIMITS_SHARE_ASSIGNMENT_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_ASSIGNMENT_HPP

#include "flamingoroute/limits/share.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// An instance's part of a customer's table: its floor and the instance of the pool. Body of share_table.
struct share_assignment {
    std::string customer;
    std::uint64_t tableVersion = 0; ///< versions lower than the known one are dropped
    std::uint64_t epoch = 0; ///< of the pool's lease
    std::string poolInstance;
    std::uint64_t floorIncarnation = 0; ///< the floor is invalid for any other incarnation of the receiver
    share floor;
    std::uint64_t reportSequence = 0; ///< the usage report that this answers; 0 if none
    bool isFromAllocator = false; ///< sent by the lease holder; an answer to a report renews the floor

    bool operator==(const share_assignment&) const = default;
    MSGPACK_DEFINE(
        customer, tableVersion, epoch, poolInstance, floorIncarnation, floor, reportSequence, isFromAllocator)
};

} // namespace flamingoroute

#endif
