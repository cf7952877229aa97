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

/// A customer's pool at the holder of its lease. Tokens in the bucket and granted tokens that may be unspent never sum
/// to more than the pool's depth.
class grant_pool {
public:
    explicit grant_pool(const limit_settings& settings)
        : m_settings(settings)
    {
    }

    /// Applies a lease. Under a higher epoch the pool starts empty after the grants of the previous holder have
    /// expired, unless the lease is fresh: then it starts full.
    void applyLease(monotonic_time now, const pool_lease& lease);

    /// Records the demand of a requester and the state of its grants.
    void onRequest(monotonic_time now, const instance_id& from, const share_request& request);

    /// Takes a token for a request at this instance, unless requests at others wait for one.
    bool tryTakeLocal(monotonic_time now);

    /// Grants the tokens that requesters need, as far as available.
    /// @param localWaiting requests that wait at this instance; they get a share like the others
    /// @param localTokens receives the tokens for them, taken from the pool
    std::vector<std::pair<instance_id, share_grant>> distribute(monotonic_time now, int localWaiting, int& localTokens);

    bool isActive(monotonic_time now) const { return now < m_validUntil; }
    bool isKnown() const { return m_epoch != 0; }
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t tableVersion() const { return m_tableVersion; }

    /// @return the share in use; after the depth is lowered, the outstanding tokens count until they fit, those of the
    /// previous epoch included
    share shareInUse(monotonic_time now);

    /// @return time until a token is available
    milliseconds untilNextToken() const { return m_bucket.untilNextToken(); }

    /// @return granted tokens that may be unspent
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
    int unmetPredicted(const requester& from, monotonic_time now) const;
    int inFlight(const requester& from, monotonic_time now) const;
    share_grant issueGrant(requester& to, int tokens, monotonic_time now);

    const limit_settings m_settings;
    token_bucket m_bucket;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_tableVersion = 0;
    monotonic_time m_validUntil;
    monotonic_time m_earlierGrantsUntil; ///< grants of the previous epoch may be unspent until then
    int m_earlierGrantsDepth = 0; ///< upper bound of their tokens
    std::string m_customer;
    std::uint64_t m_lastNumber = 0; ///< of all requesters, so that a number is unique within an epoch
    std::map<instance_id, requester> m_requesters;
    std::vector<open_grant> m_orphanedGrants; ///< granted to replaced incarnations
};

} // namespace flamingoroute

#endif
