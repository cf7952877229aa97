#ifndef FLAMINGOROUTE_LIMITS_ALLOCATOR_HPP
#define FLAMINGOROUTE_LIMITS_ALLOCATOR_HPP

#include "flamingoroute/limits/internal/customer_allocation.hpp"
#include "flamingoroute/limits/internal/promise_tracker.hpp"
#include "flamingoroute/limits/limit_message.hpp"
#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/limits/store_call.hpp"
#include "flamingoroute/limits/store_result.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/rate_limit.hpp"

#include <map>
#include <vector>

namespace flamingoroute {

/// Control side of rates and bursts at one instance, for all customers with traffic here: acquires the lease of a
/// customer's pool, maintains its table, and hands both over to another instance when necessary. Performs no I/O: the
/// caller collects store calls and messages.
///
/// A holder may run the pool while its successor promises not to take over, or shortly after its last write. Only the
/// successor that the table names may take over, after its promise has expired and the table has been unchanged for the
/// same time; any instance may after a much longer time. So a holder keeps serving during an outage of the platform
/// without renewing anything there, and a failed holder is replaced within seconds. A holder that gets no response from
/// any instance names no successor; an instance that cannot reach the pool then names itself, which the holder detects
/// at its next write.
class allocator {
public:
    /// @param localInstance this instance
    /// @param localIncarnation of this control process
    allocator(instance_id localInstance, incarnation localIncarnation, const limit_settings& settings);

    /// Rates and bursts of the active configuration.
    void onLimits(std::vector<rate_limit> limits, revision number);

    /// Instances that are considered running, this one included.
    void onMembers(std::vector<member> members);

    /// Demand and shares in use of an entry process.
    void onReport(monotonic_time now, const instance_id& from, const usage_report& usage);

    /// A holder requests a promise, or a successor gives one.
    void onPing(monotonic_time now, const instance_id& from, const holder_ping& ping);

    /// Result of a store call.
    void onStoreResult(monotonic_time now, const store_result& result);

    /// To be called several times a second.
    void tick(monotonic_time now);

    /// @return messages to be sent, in order
    std::vector<limit_message> takeMessages();

    /// @return store calls to be made; there is at most one open for a customer
    std::vector<store_call> takeStoreCalls();

    /// @return the last known table of a customer, or null
    const allocation_table* tableOf(const customer_id& customer) const;

private:
    using customer_map = std::map<customer_id, customer_allocation>;

    void onOwnReport(monotonic_time now, customer_allocation& state, const usage_report& usage);
    void recordReporter(
        monotonic_time now, customer_allocation& state, const instance_id& from, const usage_report& usage);
    void sendAssignment(
        monotonic_time now, const customer_allocation& state, const instance_id& to, std::uint64_t report);
    void adopt(monotonic_time now, customer_allocation& state, const allocation_table& table, object_version version);
    void sendAssignments(monotonic_time now, const customer_allocation& state);
    void tickCustomer(monotonic_time now, customer_allocation& state);
    void tickHolder(monotonic_time now, customer_allocation& state);
    void sendPoolLease(monotonic_time now, customer_allocation& state);
    void resendLoweredFloors(monotonic_time now, customer_allocation& state);
    bool maintainTable(monotonic_time now, customer_allocation& state);
    void planFloors(monotonic_time now, customer_allocation& state);
    void handOver(monotonic_time now, customer_allocation& state, const instance_id& to);
    void takeOver(monotonic_time now, customer_allocation& state);
    bool isChallengeAllowed(monotonic_time now, const customer_allocation& state) const;
    void challenge(monotonic_time now, customer_allocation& state);
    void repeatWrite(customer_allocation& state);
    void createTable(monotonic_time now, customer_allocation& state);
    void read(monotonic_time now, customer_allocation& state);
    void write(monotonic_time now, customer_allocation& state, allocation_table next);
    void removeIdle(monotonic_time now);
    bool isTakeoverAllowed(monotonic_time now, const customer_allocation& state) const;
    bool isHolder(const customer_allocation& state) const;
    bool isOwnEntryAlive(monotonic_time now) const;
    bool isIdle(monotonic_time now, const customer_allocation& state) const;
    monotonic_time poolOwnershipUntil(const customer_allocation& state) const;
    monotonic_time promisedUntil(const allocation_table& table, monotonic_time writeBegan) const;
    allocation_input planInput(monotonic_time now, const customer_allocation& state) const;
    instance_id chooseSuccessor(monotonic_time now) const;
    void ping(monotonic_time now);

    const instance_id m_localInstance;
    const incarnation m_incarnation;
    const limit_settings m_settings;
    std::map<customer_id, rate_limit> m_limits;
    revision m_limitRevision = 0;
    std::vector<member> m_members;
    customer_map m_customers;
    promise_tracker m_promises;
    std::uint64_t m_ownEntryIncarnation = 0;
    monotonic_time m_ownEntryReportAt;
    std::uint64_t m_writeNumber = 0;
    monotonic_time m_nextPing;
    std::map<instance_id, monotonic_time> m_suspectedUntil; ///< successors that did not respond
    std::vector<limit_message> m_messages;
    std::vector<store_call> m_calls;
};

} // namespace flamingoroute

#endif
