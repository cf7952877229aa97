#ifndef FLAMINGOROUTE_LIMITS_INTERNAL_GRANT_STOCK_HPP
#define FLAMINGOROUTE_LIMITS_INTERNAL_GRANT_STOCK_HPP

#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/limits/share_grant.hpp"
#include "flamingoroute/limits/share_request.hpp"
#include "flamingoroute/model/ids.hpp"

#include <deque>

namespace flamingoroute {

/// The grants that an instance has drawn from a customer's pool and not yet spent.
class grant_stock {
public:
    /// @param now starts the numbers of requests, which must not repeat when a stock is made anew
    grant_stock(const limit_settings& settings, incarnation self, monotonic_time now)
        : m_settings(settings)
        , m_incarnation(self)
        , m_sequence(static_cast<std::uint64_t>(now.time_since_epoch().count()))
    {
    }

    /// Turns to the pool of a new lease. Grants of the old one can still be spent; no more of them are accepted.
    void changeEpoch(std::uint64_t epoch);

    /// Takes a grant in, unless it is doubled, late, of another epoch or for another incarnation.
    /// @return true if it was taken in
    bool accept(monotonic_time now, const share_grant& grant);

    /// Spends one token.
    bool tryTake(monotonic_time now);

    /// @return tokens that can be spent
    int available(monotonic_time now);

    /// @return the next request to the pool, which also gives back an old grant that nobody needs
    /// @param waiting tokens for requests that wait
    /// @param ahead tokens for requests expected soon
    share_request makeRequest(monotonic_time now, int waiting, int ahead);

    /// @return true if the pool has not been told of all spent grants
    bool hasUnreported() const { return m_hasUnreported; }

    std::uint64_t epoch() const { return m_epoch; }

private:
    struct drawn_grant {
        std::uint64_t number = 0;
        int granted = 0;
        int left = 0;
        monotonic_time requestedAt;
    };
    struct sent_request {
        std::uint64_t sequence = 0;
        monotonic_time sentAt;
    };

    void expire(monotonic_time now);
    void giveBackOldest(monotonic_time now, share_request& request);

    const limit_settings m_settings;
    incarnation m_incarnation = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_receivedThrough = 0;
    std::deque<sent_request> m_sent;
    std::deque<drawn_grant> m_grants;
    std::deque<drawn_grant> m_earlier; ///< of earlier epochs
    bool m_hasUnreported = false;
};

} // namespace flamingoroute

#endif
