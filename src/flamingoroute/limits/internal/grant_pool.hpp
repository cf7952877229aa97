#ifndef FLAMINGOROUTE_LIMITS_INTERNAL_GRANT_POOL_HPP
#define FLAMINGOROUTE_LIMITS_INTERNAL_GRANT_POOL_HPP

#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/limits/pool_lease.hpp"
#include "flamingoroute/limits/share_grant.hpp"
#include "flamingoroute/limits/share_request.hpp"
#include "flamingoroute/limits/token_bucket.hpp"
#include "flamingoroute/model/ids.hpp"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace flamingoroute {

/// A customer's pool at the holder of its lease. Tokens in the bucket and tokens granted and perhaps not yet spent
/// never sum to more than the pool's depth.
class grant_pool {
public:
    explicit grant_pool(const limit_settings& settings)
        : m_settings(settings)
    {
    }

    /// Follows a lease. A higher epoch lets the grants of the holder before expire and starts
    /// empty, unless nobody held tokens before.
    void follow(monotonic_time now, const pool_lease& lease);

    /// Notes what a requester needs and what became of its grants.
    void onRequest(monotonic_time now, const instance_id& from, const share_request& request);

    /// Takes a token for a request at this instance, unless requests at others wait for one.
    bool tryTakeLocal(monotonic_time now);

    /// Gives out what requesters need, as far as there is.
    /// @param localWaiting requests that wait at this instance; they get a share like the others
    /// @param localTokens receives the tokens for them, taken from the pool
    std::vector<std::pair<instance_id, share_grant>> distribute(monotonic_time now, int localWaiting, int& localTokens);

    bool isActive(monotonic_time now) const { return now < m_validUntil; }
    bool isKnown() const { return m_epoch != 0; }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t tableVersion() const { return m_tableVersion; }

    /// @return the share in use: a depth that was lowered counts until what is outstanding fits,
    /// grants of the epoch before included
    share shareInUse(monotonic_time now);

    /// @return time until a token will be minted
    milliseconds untilNextToken() const { return m_bucket.untilNextToken(); }

    /// @return tokens granted that may not have been spent
    int outstanding() const;

private:
    struct open_grant {
        std::uint64_t number = 0;
        int granted = 0;
        int unspent = 0;
        monotonic_time grantedAt;
        monotonic_time expiresAt;
    };
    struct requester {
        share_request latest;
        monotonic_time receivedAt;
        std::deque<open_grant> grants;
    };

    token_bucket newBucket(monotonic_time now, const pool_lease& lease) const;
    void expire(monotonic_time now);
    void settle(requester& from, const share_request& request);
    int unmetWaiting(const requester& from, monotonic_time now) const;
    int unmetAhead(const requester& from, monotonic_time now) const;
    int inFlight(const requester& from, monotonic_time now) const;
    share_grant give(requester& to, int tokens, monotonic_time now);

    const limit_settings m_settings;
    token_bucket m_bucket;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_tableVersion = 0;
    monotonic_time m_validUntil;
    monotonic_time m_frozenUntil; ///< grants of the epoch before are out until then
    int m_frozenDepth = 0; ///< tokens that these may be
    std::string m_customer;
    std::uint64_t m_lastNumber = 0; ///< of all requesters, so that no number comes twice under an epoch
    std::map<instance_id, requester> m_requesters;
    std::vector<open_grant> m_orphans; ///< granted to incarnations that are gone
};

} // namespace flamingoroute

#endif
