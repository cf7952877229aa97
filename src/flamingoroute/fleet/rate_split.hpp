#ifndef FLAMINGOROUTE_FLEET_RATE_SPLIT_HPP
#define FLAMINGOROUTE_FLEET_RATE_SPLIT_HPP

#include "flamingoroute/model/customer_policy.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/settings/fleet_bounds.hpp"

#include <map>

namespace flamingoroute {

/// What one instance knows of the fleet's demand for one customer.
struct demand_view {
    std::size_t members = 1; ///< instances that may admit requests
    std::size_t heard = 1; ///< of them heard lately, this one included
    double own = 0; ///< requests a second at this instance
    double ofHeard = 0; ///< requests a second at all that were heard, this one included

    bool operator==(const demand_view&) const = default;
};

/// The part of a rate that an instance may use.
///
/// A fifth is split evenly. The rest follows demand, but only as much of it as the instances heard make up of the
/// fleet: the sides of a cut then sum to the whole, and an instance that hears nobody has its even part.
/// @return 0 to 1
double rateShare(const demand_view& view);

/// Admits requests of customers within their fleet-wide rates, by this instance's part of each. Pure.
class rate_split {
public:
    /// @param bounds what the fleet may admit beyond a rate and its burst
    /// @param startedAt the start of the process; tokens are minted from then on
    rate_split(const fleet_bounds& bounds, monotonic_time startedAt);

    /// Counts a request and admits it, or says when to come again.
    /// @param view of the fleet for this customer
    /// @return zero if admitted
    milliseconds admit(const customer_policy& customer, const demand_view& view, monotonic_time now);

    /// @return requests a second that this instance lately got, for each customer
    std::map<customer_id, double> demand(monotonic_time now) const;

    /// Forgets customers that are not in @p kept.
    void retainOnly(const std::map<customer_id, double>& kept);

private:
    struct account {
        double tokens = 0;
        double demand = 0; ///< requests a second, smoothed
        monotonic_time at;
    };

    double fleetDepth(const customer_policy& customer) const;

    fleet_bounds m_bounds;
    monotonic_time m_startedAt;

    std::map<customer_id, account> m_accounts;
};

} // namespace flamingoroute

#endif
