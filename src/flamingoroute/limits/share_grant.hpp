#ifndef FLAMINGOROUTE_LIMITS_SHARE_GRANT_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_GRANT_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Whole tokens taken from a customer's pool, or lent from the sender's floor. Expires when the request that it answers
/// is older than limit_settings::grantLifetime.
struct share_grant {
    std::string customer;
    std::uint64_t epoch = 0; ///< of the pool's lease; 0 for a loan
    std::uint64_t receiverIncarnation = 0; ///< ignored by any other incarnation
    std::uint64_t requestSequence = 0; ///< the request that it answers
    std::uint64_t number = 0; ///< grows with each grant to this receiver under this epoch; of a loan, its request's
    int tokens = 0;

    bool operator==(const share_grant&) const = default;
    MSGPACK_DEFINE(customer, epoch, receiverIncarnation, requestSequence, number, tokens)
};

} // namespace flamingoroute

#endif
