#ifndef FLAMINGOROUTE_LIMITS_ALLOCATION_PLAN_HPP
#define FLAMINGOROUTE_LIMITS_ALLOCATION_PLAN_HPP

#include "flamingoroute/limits/allocation_table.hpp"

#include <vector>

namespace flamingoroute {

/// State recorded by the allocator of an instance with traffic of a customer, or with a row in the customer's table.
struct holder_facts {
    instance_id instance;
    std::uint64_t lastIncarnation = 0; ///< newest one reported
    double demandPerSecond = 0;
    std::uint64_t confirmedVersion = 0; ///< newest table version that the instance has confirmed
    bool isExpired = false; ///< its floor has expired, clock drift included
    bool mayHaveLent = false; ///< an earlier incarnation may have lent tokens that are not yet spent

    bool operator==(const holder_facts&) const = default;
};

/// Input of a plan.
struct allocation_input {
    share limit; ///< rate and burst of the active configuration
    revision limitRevision = 0;
    std::vector<holder_facts> holders;
    std::uint64_t confirmedPoolVersion = 0; ///< newest table version whose pool share the pool has applied
    share poolInUse; ///< share that the pool reported as in use with that confirmation
    double floorFraction = 0.2; ///< part of the limit that becomes floors
    bool keepsFloorWithoutDemand = false; ///< holders without demand have a floor too
    bool isResplitDue = false; ///< floors follow demand only then
};

/// Makes one step towards the wanted split: confirmed reductions free capacity, and only free capacity is assigned.
/// @return the next table, equal to @p current apart from its version if there is nothing to do
allocation_table planNext(const allocation_table& current, const allocation_input& input);

/// @return the floor that each instance should have, for those that should have one
std::vector<allocation_row> wantedFloors(const allocation_input& input);

} // namespace flamingoroute

#endif
