#ifndef FLAMINGOROUTE_STEERING_STEERING_CORE_HPP
#define FLAMINGOROUTE_STEERING_STEERING_CORE_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/steering/internal/service_set.hpp"
#include "flamingoroute/steering/settled_request.hpp"
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

/// Decides, for one instance, which upstream a request goes to and when. Pure: the caller tells the time, carries the
/// messages and takes the settled requests after each call.
class steering_core {
public:
    /// @return a random number below the given one
    using random_below = std::function<std::size_t(std::size_t)>;

    steering_core(steering_identity self, steering_settings settings, random_below random);

    void adopt(configuration_ptr current, monotonic_time now);

    /// Sets the live instances, this one included. The list may lag.
    void setMembers(std::vector<member> members);

    /// Takes the allocator's role of the own failure domain, or gives it up.
    void beginAllocating(const allocator_role& role, monotonic_time now);
    void endAllocating(monotonic_time now);

    /// Learns who holds the allocator's role of the own failure domain.
    void noteAllocator(const instance_id& holder, std::uint64_t epoch, monotonic_time now);

    void confirmLease(monotonic_time askedAt) { m_ledger.confirmLease(askedAt); }
    void proveGone(const instance_id& gone, incarnation alive, monotonic_time now);

    /// Puts a request into the queue. It is settled at once or by a later call.
    void enqueue(std::uint64_t ticket, const upstream_requirements& wish, monotonic_time now);

    /// Takes a request out of the queue.
    /// @return false if it is settled already
    bool abandon(std::uint64_t ticket);

    /// Gives a slot back. If the outcome is unknown, the slot stays taken until the request's deadline.
    void release(const chosen_upstream& chosen, const attempt_result& result, monotonic_time now);

    void noteProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now);

    /// Takes in a message of an instance's entry process.
    void receive(const instance_id& from, message_kind kind, const std::string& body, monotonic_time now);

    /// Does what time alone asks for.
    void tick(monotonic_time now);

    std::vector<settled_request> takeSettled() { return std::exchange(m_settled, {}); }
    std::vector<steering_message> takeMessages() { return std::exchange(m_messages, {}); }

    const slot_ledger& ledger() const { return m_ledger; }
    const upstream_health& health() const { return m_health; }
    configuration_ptr current() const { return m_current; }

    /// @return upstreams of the own failure domain that this instance shall probe
    std::vector<upstream> upstreamsToProbe() const;

private:
    using set_key = std::pair<service_id, version_id>;
    struct running_request {
        const upstream* target = nullptr;
        configuration_ptr source; ///< keeps the target alive
        set_key set;
        request_class kind = request_class::interactive;
        monotonic_time deadline;
        double linkBytes = 0; ///< reckoned for the link; zero within the region
        double requestBytes = 0;
    };
    struct lingering_slot {
        failure_domain_id domain;
        upstream_id target;
        monotonic_time until;
    };

    void addSets();
    void addLinks();
    void refuse(std::uint64_t ticket, refusal_reason reason, const std::string& detail, milliseconds retryAfter);
    bool isUsable(const upstream& target, const std::vector<upstream_id>& tried, monotonic_time now) const;
    bool canStartAt(
        const upstream_ring& ring, const upstream& target, const upstream_requirements& wish, monotonic_time now);
    std::pair<const upstream*, const upstream_ring*> choose(
        const service_set& set, const upstream_requirements& wish, monotonic_time now);
    double score(const upstream& target, monotonic_time now);
    void start(const waiting_request& request, service_set& set, const upstream& target, const upstream_ring& ring,
        monotonic_time now);
    void dispatch(service_set& set, monotonic_time now);
    bool isHopeless(const service_set& set, const upstream_requirements& wish, int weight, monotonic_time now);
    int weightOf(const customer_id& customer) const;
    void updateWants(service_set& set, monotonic_time now);
    void wantInRing(const service_set& set, const upstream_ring& ring, std::size_t waiting, monotonic_time now);
    void endLingering(monotonic_time now);
    void spreadLeaving(monotonic_time now);
    void exchange(monotonic_time now);
    void sendRequest(const failure_domain_id& domain, const slot_request& request, monotonic_time now);
    void closeIfUnfit(const upstream& target, monotonic_time now);
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
    std::map<failure_domain_id, instance_id> m_allocators; ///< as last heard
    std::map<set_key, service_set> m_sets;
    std::set<upstream_id> m_connectable; ///< the subset that this instance may connect to
    std::map<std::uint64_t, running_request> m_running;
    std::vector<lingering_slot> m_lingering;
    std::uint64_t m_lastSlot = 0;
    std::uint64_t m_requestsRouted = 0;
    std::vector<settled_request> m_settled;
    std::vector<steering_message> m_messages;
};

} // namespace flamingoroute

#endif
