#ifndef FLAMINGOROUTE_LIMITS_POOL_LEASE_HPP
#define FLAMINGOROUTE_LIMITS_POOL_LEASE_HPP

#include "flamingoroute/limits/share.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Allows the entry process of the same instance to run a customer's pool until a given time.
struct pool_lease {
    std::string customer;
    std::uint64_t epoch = 0; ///< a new epoch starts empty, unless isFresh
    std::uint64_t tableVersion = 0;
    std::uint64_t holderIncarnation = 0; ///< ignored by any other incarnation of the entry process
    share pool;
    bool isFresh = false; ///< no tokens of an earlier epoch can be spent or held: starts full and at once
    std::int64_t validUntilMicroseconds = 0; ///< on this instance's monotonic clock

    bool operator==(const pool_lease&) const = default;
    MSGPACK_DEFINE(customer, epoch, tableVersion, holderIncarnation, pool, isFresh, validUntilMicroseconds)
};

} // namespace flamingoroute

#endif
