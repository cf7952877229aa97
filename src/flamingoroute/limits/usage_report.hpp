#ifndef FLAMINGOROUTE_LIMITS_USAGE_REPORT_HPP
#define FLAMINGOROUTE_LIMITS_USAGE_REPORT_HPP

#include "flamingoroute/limits/share.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Demand of a customer at an instance, and upper bounds of the shares that it uses from now on.
struct usage_report {
    std::string customer;
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t tableVersion = 0; ///< of the applied assignment; 0 if none
    share floor; ///< in use
    std::uint64_t poolEpoch = 0; ///< of the pool that is held here; 0 if none
    std::uint64_t poolVersion = 0; ///< table version of the applied share of the pool
    share pool; ///< in use
    double demandPerSecond = 0;
    bool isPoolUnresponsive = false; ///< the pool does not respond

    bool operator==(const usage_report&) const = default;
    MSGPACK_DEFINE(customer, senderIncarnation, sequence, tableVersion, floor, poolEpoch, poolVersion, pool,
        demandPerSecond, isPoolUnresponsive)
};

} // namespace flamingoroute

#endif
