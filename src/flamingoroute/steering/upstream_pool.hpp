#ifndef FLAMINGOROUTE_STEERING_UPSTREAM_POOL_HPP
#define FLAMINGOROUTE_STEERING_UPSTREAM_POOL_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/requests/attempt_result.hpp"
#include "flamingoroute/steering/allocator_role.hpp"
#include "flamingoroute/steering/chosen_upstream.hpp"
#include "flamingoroute/steering/probe_answer.hpp"
#include "flamingoroute/steering/steering_identity.hpp"
#include "flamingoroute/steering/steering_settings.hpp"
#include "flamingoroute/steering/upstream_requirements.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <vector>

namespace flamingoroute {

/// Gives requests their upstreams. Safe to call from many threads at once; wraps steering_core with a lock, the clock
/// and the wire.
class upstream_pool {
public:
    /// @param self the instance that chooses
    /// @param send carries messages to other instances; may be empty for an instance without others
    /// @param settings limits and times
    explicit upstream_pool(steering_identity self, message_sender send = {}, steering_settings settings = {});
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Takes a configuration into force.
    void adopt(configuration_ptr current);

    /// Sets the live instances, this one included.
    void setMembers(std::vector<member> members);

    /// Takes the allocator's role of the own failure domain.
    void beginAllocating(const allocator_role& role);

    /// Gives the allocator's role up.
    void endAllocating();

    /// Learns who holds the allocator's role of the own failure domain.
    void noteAllocator(const instance_id& holder, std::uint64_t epoch);

    /// The lease of the role still stood when it was asked for at @p askedAt.
    void confirmLease(monotonic_time askedAt);

    /// @return whether slots are still reserved for earlier allocators
    bool hasReserve() const;

    /// Incarnations of an instance below @p alive run no more.
    void proveGone(const instance_id& gone, incarnation alive);

    /// Waits in the queue for a slot, until the wish's deadline at the latest.
    /// @return a slot, to be released; or `no_capacity`, `no_healthy_upstream` or `not_ready`
    tl::expected<chosen_upstream, refusal> acquire(const upstream_requirements& wish);

    /// Gives a slot back and tells how the attempt went.
    void release(const chosen_upstream& chosen, const attempt_result& result);

    /// Takes in a slot_request or slot_grant.
    void receive(const envelope& message);

    void noteProbe(const upstream_id& target, const probe_answer& answer);

    /// @return upstreams whose health endpoint this instance shall ask
    std::vector<upstream> upstreamsToProbe() const;

    /// Does what time alone asks for; to be called every 10 ms.
    void tick();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
