#ifndef FLAMINGOROUTE_LIMITS_POOL_LEASE_HPP
#define FLAMINGOROUTE_LIMITS_POOL_LEASE_HPP

#include "flamingoroute/limits/share.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Lets the entry process of the same machine keep a customer's pool until a time.
struct pool_lease {
    std::string customer;
    std::uint64_t epoch = 0; ///< a new epoch starts empty
    std::uint64_t tableVersion = 0;
    std::uint64_t holderIncarnation = 0; ///< void for any other incarnation of the entry process
    share pool;
    bool isFresh = false; ///< nobody can have spent or hold tokens of an earlier epoch: starts full and at once
    std::int64_t validUntilMicroseconds = 0; ///< on this machine's monotonic clock

    bool operator==(const pool_lease&) const = default;
    MSGPACK_DEFINE(customer, epoch, tableVersion, holderIncarnation, pool, isFresh, validUntilMicroseconds)
};

} // namespace flamingoroute

#endif
