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

/// Assigns upstreams to requests. Safe to call from many threads at once; wraps steering_core with a lock, the clock
/// and the sending of messages.
class upstream_pool {
public:
    /// @param self this instance
    /// @param send sends messages to other instances; may be empty if there are no others
    /// @param settings limits and times
    explicit upstream_pool(steering_identity self, message_sender send = {}, steering_settings settings = {});
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Puts a configuration into force.
    void adopt(configuration_ptr current);

    /// Sets the live instances, this one included.
    void setMembers(std::vector<member> members);

    /// Starts the allocator role of the own failure domain.
    void beginAllocating(const allocator_role& role);

    /// Ends the allocator role.
    void endAllocating();

    /// Records which instance holds the allocator role of the own failure domain. Ends the own role if @p epoch is
    /// higher than its epoch; ignores an epoch lower than the last one received.
    void updateAllocator(const instance_id& holder, std::uint64_t epoch);

    /// Records that the lease of the role was still held when its renewal was sent at @p requestedAt.
    void confirmLease(monotonic_time requestedAt);

    /// @return whether slots are still reserved for earlier allocators
    bool hasReserve() const;

    /// Records that incarnations of an instance below @p liveIncarnation have terminated.
    void confirmTerminated(const instance_id& instance, incarnation liveIncarnation);

    /// Waits in the queue for a slot, until the deadline of @p requirements at the latest.
    /// @return a slot, to be released; or `no_capacity`, `no_healthy_upstream` or `not_ready`
    tl::expected<chosen_upstream, refusal> acquire(const upstream_requirements& requirements);

    /// Releases a slot and records the result of the attempt.
    void release(const chosen_upstream& chosen, const attempt_result& result);

    /// Processes a slot_request or slot_grant.
    void receive(const envelope& message);

    void recordProbe(const upstream_id& target, const probe_answer& answer);

    /// @return upstreams whose health endpoint this instance should probe
    std::vector<upstream> upstreamsToProbe() const;

    /// Does the work that is due by time; to be called every 10 ms.
    void tick();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
