#ifndef FLAMINGOROUTE_LIMITS_INTERNAL_RECEIVED_GRANTS_HPP
#define FLAMINGOROUTE_LIMITS_INTERNAL_RECEIVED_GRANTS_HPP

#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/limits/share_grant.hpp"
#include "flamingoroute/limits/share_request.hpp"
#include "flamingoroute/model/ids.hpp"

#include <deque>

namespace flamingoroute {

/// Grants that an instance has received from a customer's pool, or as loans, and not yet spent.
class received_grants {
public:
    /// @param now used as the first sequence number, so that numbers do not repeat if the object is created again
    received_grants(const limit_settings& settings, incarnation localIncarnation, monotonic_time now)
        : m_settings(settings)
        , m_incarnation(localIncarnation)
        , m_sequence(static_cast<std::uint64_t>(now.time_since_epoch().count()))
    {
    }

    /// Switches to the pool of a new lease. Grants of the old one can still be spent; no more of them are accepted.
    /// An epoch that is not higher is ignored.
    void changeEpoch(std::uint64_t epoch);

    /// Accepts a grant, unless it is a duplicate, arrives after a grant with a higher number, answers a request older
    /// than the grant lifetime, or is of another epoch or for another incarnation.
    /// @return true if it was accepted
    bool accept(monotonic_time now, const share_grant& grant);

    /// Spends one token.
    /// @return false if there is none
    bool trySpend(monotonic_time now);

    /// @return tokens that can be spent
    int available(monotonic_time now);

    /// @return the next request to the pool, which also returns an old grant that is not needed
    /// @param waitingTokens tokens for requests that wait
    /// @param predictedTokens tokens for requests expected soon
    share_request makeRequest(monotonic_time now, int waitingTokens, int predictedTokens);

    /// @return true if the state of a grant may not have been reported to the pool yet
    bool hasUnreported() const { return m_hasUnreported; }

    std::uint64_t epoch() const { return m_epoch; }

private:
    struct received_grant {
        std::uint64_t number = 0;
        int granted = 0;
        int remaining = 0;
        monotonic_time requestedAt;
    };
    struct sent_request {
        std::uint64_t sequence = 0;
        monotonic_time sentAt;
    };

    void expire(monotonic_time now);
    void returnOldestIfStale(monotonic_time now, share_request& request);

    const limit_settings m_settings;
    incarnation m_incarnation = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastReceivedNumber = 0;
    std::deque<sent_request> m_sent;
    std::deque<received_grant> m_grants;
    std::deque<received_grant> m_earlier; ///< of earlier epochs
    bool m_hasUnreported = false;
};

} // namespace flamingoroute

#endif
