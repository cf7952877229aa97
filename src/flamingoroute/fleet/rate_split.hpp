#ifndef FLAMINGOROUTE_FLEET_RATE_SPLIT_HPP
#define FLAMINGOROUTE_FLEET_RATE_SPLIT_HPP

#include "flamingoroute/fleet/window_count.hpp"
#include "flamingoroute/model/customer_policy.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <map>

namespace flamingoroute {

/// What one instance knows of the fleet's demand for one customer.
struct demand_view {
    std::size_t members = 1; ///< instances that may admit requests
    std::size_t heard = 1; ///< of them heard lately, this one included
    std::size_t settled = 0; ///< others heard whose counts are whole
    double own = 0; ///< requests a second at this instance, as it reported them
    double ownAdmitted = 0; ///< requests in the last window at this instance, as it reported them
    double ofHeard = 0; ///< requests a second at all that were heard, this one included
    double othersAdmitted = 0; ///< requests that the others heard admitted in the last window, as far as is known

    bool operator==(const demand_view&) const = default;
};

/// The part of a rate that an instance may use.
///
/// A tenth is split evenly. The rest follows demand, but only as much of it as the instances heard make up of the
/// fleet: the sides of a cut then sum to the whole, and an instance that hears nobody has its even part.
/// @return 0 to 1
double rateShare(const demand_view& view);

/// What an instance counted of one customer.
struct rate_usage {
    double demand = 0; ///< requests a second, admitted or not
    double admitted = 0; ///< requests in the last window

    bool operator==(const rate_usage&) const = default;
};

/// Admits requests of customers within their fleet-wide rates. Pure.
///
/// Each instance mints tokens at its part of the rate. While the fleet is known to have admitted well less than a
/// window may hold, a request is admitted on credit: parts of a small rate hold too few tokens for chance. Credit is
/// paid back out of later tokens, so that rate and burst hold over time. In the first seconds after a restart, when
/// windows do not count what was admitted before it, credit is for customers that all instances together show to ask
/// for less than their rate: answers the seconds after all instances lost power, when parts of a rate hold no tokens
/// yet.
class rate_split {
public:
    /// @param bounds what the fleet may admit beyond a rate and its burst
    /// @param startedAt the start of the process; tokens are minted from then on
    rate_split(const fleet_bounds& bounds, monotonic_time startedAt);

    /// Counts a request and admits it, or says when to come again.
    /// @param view of the fleet for this customer
    /// @return zero if admitted
    milliseconds admit(const customer_policy& customer, const demand_view& view, monotonic_time now);

    /// Counts one more sending of a request that was admitted and may have run: each run is one of the rate's.
    void noteExtraAttempt(const customer_policy& customer, monotonic_time now);

    /// @return whether much more of the customer was admitted than @p reported, so that others should hear of it soon
    bool hasRisen(const customer_id& customer, double reported, monotonic_time now) const;

    /// @return whether this instance has counted for a whole window
    bool hasFullWindow(monotonic_time now) const { return now - m_startedAt >= m_bounds.rateWindow; }

    /// @return what this instance lately got, for each customer
    std::map<customer_id, rate_usage> usage(monotonic_time now) const;

private:
    struct account {
        double tokens = 0;
        double demand = 0; ///< requests a second, smoothed
        monotonic_time at;
        window_count admitted;
    };

    double windowLimit(const customer_policy& customer) const;
    double fleetDepth(const customer_policy& customer) const;
    bool mayTakeCredit(
        const customer_policy& customer, const demand_view& view, double ownAdmitted, monotonic_time now) const;
    bool asksForLess(
        const customer_policy& customer, const demand_view& view, double ownAdmitted, monotonic_time now) const;
    rate_usage usageIn(const account& held, monotonic_time now) const;

    fleet_bounds m_bounds;
    monotonic_time m_startedAt;

    std::map<customer_id, account> m_accounts;
};

} // namespace flamingoroute

#endif
