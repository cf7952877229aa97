#ifndef FLAMINGOROUTE_FLEET_RATE_SPLIT_HPP
#define FLAMINGOROUTE_FLEET_RATE_SPLIT_HPP

#include "flamingoroute/fleet/window_count.hpp"
#include "flamingoroute/model/customer_policy.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <map>

namespace flamingoroute {

/// The fleet's demand for one customer, as last received by one instance.
struct demand_view {
    std::size_t members = 1; ///< instances that may admit requests
    std::size_t reachable = 1; ///< of them reachable, including this one
    std::size_t withFullWindow = 0; ///< other reachable instances with complete counts
    double local = 0; ///< requests per second at this instance, as reported
    double localAdmitted = 0; ///< requests in the last window at this instance, as reported
    double ofReachable = 0; ///< requests per second at all reachable instances, including this one
    double othersAdmitted = 0; ///< requests in the last window at the other reachable instances, as reported
    double reportAge = 0; ///< seconds since the oldest of these reports
    double settledLocal = 0; ///< the part of local that all instances have received

    bool operator==(const demand_view&) const = default;
};

/// The share of a rate that an instance may use.
///
/// A tenth is split evenly. The rest follows demand, scaled by the reachable fraction of the fleet: the shares on both
/// sides of a network partition then add up to the whole, and an isolated instance gets an even share.
/// @return 0 to 1
double rateShare(const demand_view& view);

/// The requests of one customer that an instance counted.
struct rate_usage {
    double demand = 0; ///< requests per second, admitted or not
    double admitted = 0; ///< requests in the last window

    bool operator==(const rate_usage&) const = default;
};

/// Admits requests of customers within their fleet-wide rates. Pure: no I/O, clocks or threads.
///
/// Each instance refills a token bucket at its share of the rate. Close to the limit, the share follows the part of the
/// own demand that all instances have received: the newest demand over older sums would give shares that add up to more
/// than the whole. While the fleet is known to have admitted well below the window limit, a request is admitted on
/// credit: the share of a small rate holds too few tokens for random variation. Credit is repaid from later tokens, so
/// that rate and burst hold over time. In the first seconds after a restart, windows do not include what was admitted
/// before it. Credit is then given to customers whose demand over all instances is below their rate; otherwise they
/// would be refused in the seconds after all instances lost power, while the buckets are still empty.
class rate_split {
public:
    /// @param bounds limits what the fleet may admit beyond a rate and its burst
    /// @param startedAt the start of the process; buckets are refilled from then on
    rate_split(const fleet_bounds& bounds, monotonic_time startedAt);

    /// Counts a request; admits it or returns the wait before a retry.
    /// @param view the fleet's demand for this customer
    /// @return zero if admitted, else the time to wait before a retry
    milliseconds admit(const customer_policy& customer, const demand_view& view, monotonic_time now);

    /// Counts another attempt of an admitted request that may have run: each run counts against the rate.
    void recordExtraAttempt(const customer_policy& customer, monotonic_time now);

    /// @return whether this instance admitted many more requests in the last window than @p reported, its last reported
    ///         count, so that it should report before the next regular report
    bool isEarlyReportDue(const customer_id& customer, double reported, monotonic_time now) const;

    /// @return whether this instance has counted for a whole window
    bool hasFullWindow(monotonic_time now) const { return now - m_startedAt >= m_bounds.rateWindow; }

    /// @return the recent requests at this instance, by customer
    std::map<customer_id, rate_usage> usage(monotonic_time now) const;

private:
    struct token_bucket {
        double tokens = 0;
        double demand = 0; ///< requests per second, smoothed
        monotonic_time updatedAt;
        window_count admitted;
    };

    double windowLimit(const customer_policy& customer) const;
    double estimatedAdmitted(const demand_view& view) const;
    bool isFarFromLimit(const customer_policy& customer, const demand_view& view, double localAdmitted) const;
    double fleetDepth(const customer_policy& customer) const;
    bool mayAdmitOnCredit(
        const customer_policy& customer, const demand_view& view, double localAdmitted, monotonic_time now) const;
    bool mayAdmitDuringStartup(
        const customer_policy& customer, const demand_view& view, double localAdmitted, monotonic_time now) const;
    rate_usage usageIn(const token_bucket& bucket, monotonic_time now) const;

    fleet_bounds m_bounds;
    monotonic_time m_startedAt;

    std::map<customer_id, token_bucket> m_buckets;
};

} // namespace flamingoroute

#endif
