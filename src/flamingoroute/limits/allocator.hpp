#ifndef FLAMINGOROUTE_LIMITS_ALLOCATOR_HPP
#define FLAMINGOROUTE_LIMITS_ALLOCATOR_HPP

#include "flamingoroute/limits/internal/customer_allocation.hpp"
#include "flamingoroute/limits/internal/promise_book.hpp"
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

/// The control side of rates and bursts at one instance, for all customers with traffic here: takes the lease of a
/// customer's pool, keeps its table, and leaves both to another when it must. Pure: store calls and messages are
/// collected by the caller.
///
/// A holder may let the pool run while its successor promises to leave it alone, or shortly after its last write.
/// Only the successor that the table names may take over, when its promise and a time after it first saw the table
/// have passed; anyone may after a much longer time. So a holder serves on in an outage of the platform without
/// renewing anything there, and a dead one is replaced within seconds. A holder that nobody answers names no
/// successor; then an instance that cannot reach the pool names itself, which the holder finds at its next write.
class allocator {
public:
    /// @param self this instance
    /// @param selfIncarnation of this control process
    allocator(instance_id self, incarnation selfIncarnation, const limit_settings& settings);

    /// Rates and bursts of the configuration in force.
    void onLimits(std::vector<rate_limit> limits, revision number);

    /// The other instances that are thought to be alive, and this one.
    void onMembers(std::vector<member> members);

    /// What an entry process needs and uses.
    void onReport(monotonic_time now, const instance_id& from, const usage_report& usage);

    /// A holder asks for a promise, or a successor gives it.
    void onPing(monotonic_time now, const instance_id& from, const holder_ping& ping);

    /// The end of a store call.
    void onStoreResult(monotonic_time now, const store_result& answer);

    /// To be called several times a second.
    void tick(monotonic_time now);

    /// @return messages to be sent, in order
    std::vector<limit_message> takeMessages();

    /// @return store calls to be made; there is at most one open for a customer
    std::vector<store_call> takeStoreCalls();

    /// @return the table of a customer as last seen, or null
    const allocation_table* tableOf(const customer_id& customer) const;

private:
    using customer_map = std::map<customer_id, customer_allocation>;

    void onOwnReport(monotonic_time now, customer_allocation& state, const usage_report& usage);
    void noteReporter(
        monotonic_time now, customer_allocation& state, const instance_id& from, const usage_report& usage);
    void assign(monotonic_time now, const customer_allocation& state, const instance_id& to, std::uint64_t report);
    void adopt(monotonic_time now, customer_allocation& state, const allocation_table& table, object_version version);
    void announce(monotonic_time now, const customer_allocation& state);
    void tickCustomer(monotonic_time now, customer_allocation& state);
    void tickHolder(monotonic_time now, customer_allocation& state);
    void keepPool(monotonic_time now, customer_allocation& state);
    void sendLoweredFloors(monotonic_time now, customer_allocation& state);
    bool mendHolding(monotonic_time now, customer_allocation& state);
    void planFloors(monotonic_time now, customer_allocation& state);
    void handOver(monotonic_time now, customer_allocation& state, const instance_id& to);
    void takeTable(monotonic_time now, customer_allocation& state);
    bool isChallengeable(monotonic_time now, const customer_allocation& state) const;
    void challenge(monotonic_time now, customer_allocation& state);
    void writeAgain(customer_allocation& state);
    void createTable(monotonic_time now, customer_allocation& state);
    void read(monotonic_time now, customer_allocation& state);
    void write(monotonic_time now, customer_allocation& state, allocation_table next);
    void forgetIdle(monotonic_time now);
    bool isTakeable(monotonic_time now, const customer_allocation& state) const;
    bool isHolder(const customer_allocation& state) const;
    bool isOwnEntryAlive(monotonic_time now) const;
    bool isIdle(monotonic_time now, const customer_allocation& state) const;
    monotonic_time rightUntil(const customer_allocation& state) const;
    monotonic_time promisedUntil(const allocation_table& table, monotonic_time writeBegan) const;
    allocation_input planInput(monotonic_time now, const customer_allocation& state) const;
    instance_id chooseSuccessor(monotonic_time now) const;
    void ping(monotonic_time now);

    const instance_id m_self;
    const incarnation m_incarnation;
    const limit_settings m_settings;
    std::map<customer_id, rate_limit> m_limits;
    revision m_limitRevision = 0;
    std::vector<member> m_members;
    customer_map m_customers;
    promise_book m_promises;
    std::uint64_t m_ownEntryIncarnation = 0;
    monotonic_time m_ownEntryHeard;
    std::uint64_t m_writeNumber = 0;
    monotonic_time m_nextPing;
    std::map<instance_id, monotonic_time> m_suspectedUntil; ///< successors that did not answer
    std::vector<limit_message> m_messages;
    std::vector<store_call> m_calls;
};

} // namespace flamingoroute

#endif
