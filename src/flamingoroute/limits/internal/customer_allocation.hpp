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

/// State of one customer's table at a control process.
struct customer_allocation {
    struct reporter {
        monotonic_time firstReportAt; ///< of this incarnation
        std::uint64_t lastIncarnation = 0;
        double demandPerSecond = 0;
        std::uint64_t confirmedVersion = 0;
        monotonic_time lastReportAt;
    };

    customer_id customer;
    std::optional<allocation_table> table;
    object_version storedVersion = 0;
    monotonic_time unchangedSince; ///< when the stored version was first read or written here
    monotonic_time heldSince; ///< when this control process found that it holds the table
    monotonic_time lastWriteBegan; ///< start of the last own write that took effect
    bool isCallOpen = false;
    monotonic_time callBegan;
    std::optional<allocation_table> pendingWrite; ///< outcome unknown: may have taken effect, or still may
    std::uint64_t pendingWriteReplaces = 0; ///< stored version that it replaces
    monotonic_time nextRead;
    monotonic_time nextChallenge;
    milliseconds readPause { 0 };
    monotonic_time ownReportAt;
    bool isPoolUnresponsive = false; ///< as reported by the entry process of this instance
    bool isReadWanted = false;
    std::map<instance_id, reporter> reporters;
    std::uint64_t confirmedPoolVersion = 0;
    std::uint64_t confirmedPoolEpoch = 0;
    share poolInUse;
    monotonic_time poolBlockedUntil; ///< the pool must not run before then
    bool isPendingWriteFresh = false; ///< the pending write creates the table, so no instance holds tokens
    bool isFresh = false; ///< the table was created so, and the pool has not confirmed it
    monotonic_time nextLease;
    monotonic_time leasedUntil; ///< the entry process may run the pool until then
    monotonic_time nextPlan;
    monotonic_time planUntil;
    monotonic_time nextResend;
};

} // namespace flamingoroute

#endif
