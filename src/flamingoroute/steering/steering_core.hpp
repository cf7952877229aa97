#ifndef FLAMINGOROUTE_STEERING_STEERING_CORE_HPP
#define FLAMINGOROUTE_STEERING_STEERING_CORE_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/steering/decided_request.hpp"
#include "flamingoroute/steering/internal/version_state.hpp"
#include "flamingoroute/steering/slot_holder.hpp"
#include "flamingoroute/steering/slot_ledger.hpp"
#include "flamingoroute/steering/steering_identity.hpp"
#include "flamingoroute/steering/steering_message.hpp"
#include "flamingoroute/steering/upstream_health.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingoroute {

/// Decides, for one instance, which upstream a request goes to and when. Pure: no I/O, clocks or threads. The caller
/// passes the time, sends the messages and takes the decided requests after each call.
class steering_core {
public:
    /// @return a random number below the given one
    using random_below = std::function<std::size_t(std::size_t)>;

    steering_core(steering_identity self, steering_settings settings, random_below random);

    void adopt(configuration_ptr current, monotonic_time now);

    /// Sets the live instances, this one included. The list may be stale.
    void setMembers(std::vector<member> members);

    /// Starts or ends the allocator role of the own failure domain.
    void beginAllocating(const allocator_role& role, monotonic_time now);
    void endAllocating(monotonic_time now);

    /// Records which instance holds the allocator role of the own failure domain. Ends the own role if @p epoch is
    /// higher than its epoch; ignores an epoch lower than the last one received.
    void updateAllocator(const instance_id& holder, std::uint64_t epoch, monotonic_time now);

    void confirmLease(monotonic_time requestedAt) { m_ledger.confirmLease(requestedAt); }
    void confirmTerminated(const instance_id& instance, incarnation liveIncarnation, monotonic_time now);

    /// Enqueues a request. It is decided (assigned or refused) at once or by a later call.
    void enqueue(std::uint64_t ticket, const upstream_requirements& requirements, monotonic_time now);

    /// Removes a request from the queue.
    /// @return false if it is decided already
    bool cancel(std::uint64_t ticket);

    /// Releases a slot. If the outcome is unknown, the slot stays occupied until the request's deadline.
    void release(const chosen_upstream& chosen, const attempt_result& result, monotonic_time now);

    void recordProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now);

    /// Processes a message from an instance's entry process.
    void receive(const instance_id& from, message_kind kind, const std::string& body, monotonic_time now);

    /// Does the work that is due by time: expires waiting requests and lingering slots, updates the demand and sends
    /// due messages.
    void tick(monotonic_time now);

    std::vector<decided_request> takeDecided() { return std::exchange(m_decided, {}); }
    std::vector<steering_message> takeMessages() { return std::exchange(m_messages, {}); }

    const slot_ledger& ledger() const { return m_ledger; }
    const upstream_health& health() const { return m_health; }
    configuration_ptr current() const { return m_current; }

    /// @return upstreams of the own failure domain that this instance should probe
    std::vector<upstream> upstreamsToProbe() const;

private:
    using version_key = std::pair<service_id, version_id>;
    struct running_request {
        const upstream* target = nullptr;
        configuration_ptr source; ///< keeps the target alive
        version_key version;
        request_class kind = request_class::interactive;
        monotonic_time deadline;
        double linkBytes = 0; ///< charged to the link; zero within the region
        double requestBytes = 0;
    };
    struct lingering_slot {
        failure_domain_id domain;
        upstream_id target;
        monotonic_time until;
    };

    void updateVersions();
    void updateLinkRates();
    void refuse(std::uint64_t ticket, refusal_reason reason, const std::string& detail, milliseconds retryAfter);
    bool isUsable(const upstream& target, const std::vector<upstream_id>& tried, monotonic_time now) const;
    bool canStartAt(const locality_tier& tier, const upstream& target, const upstream_requirements& requirements,
        monotonic_time now);
    std::pair<const upstream*, const locality_tier*> choose(
        const version_state& version, const upstream_requirements& requirements, monotonic_time now);
    double score(const upstream& target, monotonic_time now);
    void start(const waiting_request& request, version_state& version, const upstream& target,
        const locality_tier& tier, monotonic_time now);
    void dispatch(version_state& version, monotonic_time now);
    bool wouldMissDeadline(
        const version_state& version, const upstream_requirements& requirements, int weight, monotonic_time now);
    int weightOf(const customer_id& customer) const;
    void updateDemand(version_state& version, monotonic_time now);
    void setDemandInTier(
        const version_state& version, const locality_tier& tier, std::size_t waiting, monotonic_time now);
    void releaseLingeringSlots(monotonic_time now);
    void reportLeavingUpstreams(monotonic_time now);
    void sendSlotMessages(monotonic_time now);
    void sendRequest(const failure_domain_id& domain, const slot_request& request, monotonic_time now);
    void updateAvailability(const upstream& target, monotonic_time now);
    void sendGrants(monotonic_time now);
    void receiveRequest(slot_request request, monotonic_time now);
    void receiveGrant(const instance_id& from, const slot_grant& grant, monotonic_time now);
    instance_id allocatorOf(const failure_domain_id& domain, monotonic_time now);
    slot_holder& holderOf(const failure_domain_id& domain);

    steering_identity m_self;
    steering_settings m_settings;
    random_below m_random;
    configuration_ptr m_current;
    std::vector<member> m_members;
    upstream_health m_health;
    slot_ledger m_ledger;
    std::uint64_t m_endedEpoch = 0;
    std::map<failure_domain_id, slot_holder> m_holders;
    std::map<failure_domain_id, instance_id> m_allocators; ///< allocator of each failure domain, as last received
    std::map<version_key, version_state> m_versions;
    std::set<upstream_id> m_connectable; ///< upstreams that this instance may connect to
    std::map<std::uint64_t, running_request> m_running;
    std::vector<lingering_slot> m_lingering;
    std::uint64_t m_lastSlot = 0;
    std::uint64_t m_requestsRouted = 0;
    std::vector<decided_request> m_decided;
    std::vector<steering_message> m_messages;
};

} // namespace flamingoroute

#endif
