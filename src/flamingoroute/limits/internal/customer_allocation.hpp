#ifndef FLAMINGOROUTE_LIMITS_INTERNAL_CUSTOMER_ALLOCATION_HPP
#define FLAMINGOROUTE_LIMITS_INTERNAL_CUSTOMER_ALLOCATION_HPP

#include "flamingoroute/limits/allocation_plan.hpp"
#include "flamingoroute/limits/allocation_table.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <map>
#include <optional>

namespace flamingoroute {

/// What a control process knows of one customer's table.
struct customer_allocation {
    struct reporter {
        monotonic_time firstHeardAt; ///< of this incarnation
        std::uint64_t lastIncarnation = 0;
        double demandPerSecond = 0;
        std::uint64_t confirmedVersion = 0;
        monotonic_time heardAt;
    };

    customer_id customer;
    std::optional<allocation_table> table;
    object_version storedVersion = 0;
    monotonic_time seenSince; ///< when the stored version was first seen here
    monotonic_time heldSince; ///< when this control process was first seen to hold the table
    monotonic_time writtenAt; ///< when the last own write that took effect was begun
    bool isCallOpen = false;
    monotonic_time callBegan;
    std::optional<allocation_table> writing; ///< may have taken effect, or may yet
    std::uint64_t writingOver = 0; ///< stored version that it replaces
    monotonic_time nextRead;
    monotonic_time nextChallenge;
    milliseconds readPause { 0 };
    monotonic_time heardOwnAt;
    bool isPoolSilent = false; ///< says the entry process of this machine
    bool isReadWanted = false;
    std::map<instance_id, reporter> reporters;
    std::uint64_t confirmedPoolVersion = 0;
    std::uint64_t confirmedPoolEpoch = 0;
    share poolInUse;
    monotonic_time rightFrom; ///< the pool must not run before then
    bool isWritingFresh = false; ///< the table being written begins where nobody held tokens
    bool isFresh = false; ///< the pool has not confirmed that it began so
    monotonic_time nextLease;
    monotonic_time leasedUntil; ///< the entry process may keep the pool until then
    monotonic_time nextPlan;
    monotonic_time planUntil;
    monotonic_time nextReminder;
};

} // namespace flamingoroute

#endif
