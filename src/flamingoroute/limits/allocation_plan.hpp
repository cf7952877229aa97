#ifndef FLAMINGOROUTE_LIMITS_ALLOCATION_PLAN_HPP
#define FLAMINGOROUTE_LIMITS_ALLOCATION_PLAN_HPP

#include "flamingoroute/limits/allocation_table.hpp"

#include <vector>

namespace flamingoroute {

/// What the allocator knows of an instance with traffic of a customer, or with a row in its table.
struct holder_facts {
    instance_id instance;
    std::uint64_t lastIncarnation = 0; ///< newest heard of
    double demandPerSecond = 0;
    std::uint64_t confirmedVersion = 0; ///< newest table version that it said to follow
    bool isExpired = false; ///< its floor's hold has surely passed
    bool mayHaveLent = false; ///< an incarnation before the newest may have lent tokens that are not spent yet

    bool operator==(const holder_facts&) const = default;
};

/// What a plan is made from.
struct allocation_input {
    share limit; ///< rate and burst of the configuration in force
    revision limitRevision = 0;
    std::vector<holder_facts> holders;
    std::uint64_t confirmedPoolVersion = 0; ///< newest table version whose pool share the pool follows
    share poolInUse; ///< what the pool said to use when it confirmed that
    double floorFraction = 0.2; ///< part of the limit that becomes floors
    bool isStandingBy = false; ///< holders without demand have a floor, too
    bool isResplitDue = false; ///< floors follow demand only then
};

/// One step towards the wanted split: confirmed reductions free room, and only free room is given out.
/// @return the next table, equal to @p current apart from its version if there is nothing to do
allocation_table planNext(const allocation_table& current, const allocation_input& input);

/// @return the floor that each instance should have, for those that should have one
std::vector<allocation_row> wantedFloors(const allocation_input& input);

} // namespace flamingoroute

#endif
