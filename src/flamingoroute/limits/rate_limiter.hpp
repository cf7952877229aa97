#ifndef FLAMINGOROUTE_LIMITS_RATE_LIMITER_HPP
#define FLAMINGOROUTE_LIMITS_RATE_LIMITER_HPP

#include "flamingoroute/limits/limit_settings.hpp"
#include "flamingoroute/limits/share_machine.hpp"
#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/peers/message_sender.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>

namespace flamingoroute {

/// Admits requests of all customers at one instance within their fleet-wide rates. Safe to use from many threads: a
/// request with a token available here takes one lock of its customer and involves no other thread.
class rate_limiter {
public:
    /// @param localInstance this instance
    /// @param localIncarnation of this entry process
    /// @param send called from the threads that use the limiter
    rate_limiter(
        instance_id localInstance, incarnation localIncarnation, const limit_settings& settings, message_sender send);

    /// @param selector returns any other instance, or an empty name. That instance receives reports too while the
    ///        holder of a pool is unknown here, since the platform may be unreachable, and requests for loans while
    ///        no pool responds
    void setPeerSelector(std::function<instance_id()> selector) { m_selectPeer = std::move(selector); }

    /// Takes one token of the customer's rate. Blocks up to limit_settings::maxWait for one, or maxColdWait
    /// while the pool is not yet known here.
    /// @return nothing, or `over_rate` (not run) with the time after which to retry
    tl::expected<void, refusal> admit(const customer_id& customer, monotonic_time deadline);

    /// Updates which customers have a rate; others are admitted without a limit.
    void adopt(const configuration& current);

    /// @return whether this instance has a floor for each customer with a rate, which lets it serve while it is
    /// partitioned
    bool hasFloors() const;

    /// Processes share_request, share_grant, share_table and lease_notice; drops bodies that cannot be parsed.
    void receive(const envelope& message);

    /// To be called every few milliseconds by one thread.
    void tick();

private:
    struct customer_slot {
        customer_slot(const customer_id& customer, const instance_id& localInstance, incarnation localIncarnation,
            const limit_settings& settings, monotonic_time now)
            : machine(customer, localInstance, localIncarnation, settings, now)
        {
        }

        std::mutex mutex;
        std::condition_variable decided;
        share_machine machine;
        std::map<std::uint64_t, bool> decisions;
        std::set<std::uint64_t> waiting;
    };
    using slot_ptr = std::shared_ptr<customer_slot>;

    slot_ptr findSlot(const customer_id& customer) const;
    slot_ptr slotOf(const customer_id& customer);
    bool isLimited(const customer_id& customer) const;
    tl::expected<void, refusal> waitForDecision(
        customer_slot& slot, std::unique_lock<std::mutex>& lock, std::uint64_t request, monotonic_time deadline);
    static refusal overRate(customer_slot& slot);
    std::vector<limit_message> settle(customer_slot& slot) const;
    void setLoanReceivers(std::vector<limit_message>& messages) const;
    void copyReportsToPeer(std::vector<limit_message>& messages) const;
    void sendHeartbeat(std::vector<limit_message>& messages);
    template <typename Body, typename Use> void receiveAll(const envelope& message, Use use);
    template <typename Use> void useSlot(const slot_ptr& slot, Use use);
    void applyAssignment(const envelope& message, const share_assignment& assignment);

    const instance_id m_localInstance;
    const incarnation m_incarnation;
    const limit_settings m_settings;
    const message_sender m_send;
    std::function<instance_id()> m_selectPeer;
    mutable std::shared_mutex m_mutex;
    std::map<customer_id, slot_ptr> m_slots;
    std::set<customer_id> m_limited;
    std::atomic<std::uint64_t> m_lastRequest { 0 };
    monotonic_time m_nextHeartbeat;
};

} // namespace flamingoroute

#endif
