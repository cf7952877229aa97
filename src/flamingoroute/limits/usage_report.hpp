#ifndef FLAMINGOROUTE_LIMITS_USAGE_REPORT_HPP
#define FLAMINGOROUTE_LIMITS_USAGE_REPORT_HPP

#include "flamingoroute/limits/share.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// What an instance needs of a customer and which shares it uses at most, from now on.
struct usage_report {
    std::string customer;
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t tableVersion = 0; ///< the assignment that is followed; 0 if none
    share floor; ///< in use
    std::uint64_t poolEpoch = 0; ///< the pool that is kept here; 0 if none
    std::uint64_t poolVersion = 0; ///< table version of the pool's share that is followed
    share pool; ///< in use
    double demandPerSecond = 0;
    bool isPoolSilent = false; ///< the pool does not answer

    bool operator==(const usage_report&) const = default;
    MSGPACK_DEFINE(customer, senderIncarnation, sequence, tableVersion, floor, poolEpoch, poolVersion, pool,
        demandPerSecond, isPoolSilent)
};

} // namespace flamingoroute

#endif
