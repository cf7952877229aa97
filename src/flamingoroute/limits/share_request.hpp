#ifndef FLAMINGOROUTE_LIMITS_SHARE_REQUEST_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_REQUEST_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Requests tokens of a customer's pool and reports the state of earlier grants; or requests a loan of tokens out of
/// the floor of another instance, while no pool responds. Replaces the sender's earlier request; receivers drop one
/// with a sequence that is not higher.
struct share_request {
    std::string customer;
    std::uint64_t epoch = 0; ///< last known one of the pool's lease; 0 requests a loan
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0; ///< grows with each request of the sender to any pool
    int waiting = 0; ///< tokens for requests that wait now
    int predicted = 0; ///< tokens for requests expected soon
    std::uint64_t lastReceivedNumber = 0; ///< highest grant received; lower ones are refused from now on
    std::uint64_t usedUpThrough = 0; ///< no token of this grant or a lower one will be spent from now on
    int spentOfNext = 0; ///< tokens spent of the lowest received grant above usedUpThrough
    std::uint64_t nextGrant = 0; ///< that grant; 0 if there is none
    std::uint64_t returnedGrant = 0; ///< a grant that is returned with unspent tokens; 0 if none
    int returnedTokens = 0; ///< its unspent tokens

    bool operator==(const share_request&) const = default;
    MSGPACK_DEFINE(customer, epoch, senderIncarnation, sequence, waiting, predicted, lastReceivedNumber, usedUpThrough,
        spentOfNext, nextGrant, returnedGrant, returnedTokens)
};

} // namespace flamingoroute

#endif
