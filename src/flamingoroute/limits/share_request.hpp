#ifndef FLAMINGOROUTE_LIMITS_SHARE_REQUEST_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_REQUEST_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace flamingoroute {

/// Asks a customer's pool for tokens and reports what became of earlier grants; or asks another instance for a loan of
/// tokens out of its floor, while no pool answers.
/// Replaces the sender's earlier request; receivers drop one with a sequence that is not higher.
struct share_request {
    std::string customer;
    std::uint64_t epoch = 0; ///< of the lease under which the pool is thought to run; 0 asks for a loan
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0; ///< grows with each request of the sender to any pool
    int waiting = 0; ///< tokens for requests that wait now
    int ahead = 0; ///< tokens for requests expected soon
    std::uint64_t receivedThrough = 0; ///< highest grant that has arrived; lower ones are refused from now on
    std::uint64_t settledThrough = 0; ///< no token of this grant or a lower one will be spent from now on
    int spentOfNext = 0; ///< tokens spent of the lowest grant above settledThrough that has arrived
    std::uint64_t nextGrant = 0; ///< that grant; 0 if there is none
    std::uint64_t returnedGrant = 0; ///< a settled grant that was not spent whole; 0 if none
    int returnedTokens = 0; ///< what was left of it

    bool operator==(const share_request&) const = default;
    MSGPACK_DEFINE(customer, epoch, senderIncarnation, sequence, waiting, ahead, receivedThrough, settledThrough,
        spentOfNext, nextGrant, returnedGrant, returnedTokens)
};

} // namespace flamingoroute

#endif
