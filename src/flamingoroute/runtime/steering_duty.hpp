#ifndef FLAMINGOROUTE_RUNTIME_STEERING_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_STEERING_DUTY_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/peers/envelope.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/steering/allocator_lease.hpp"
#include "flamingoroute/steering/upstream_pool.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <functional>
#include <vector>

namespace flamingoroute {

/// Background tasks of steering: the exchange of slots, the lease of the allocator role and the probing of health
/// endpoints. Each has a dedicated thread, so that a slow platform or upstream does not delay grants.
class steering_duty {
public:
    /// @param pool must outlive the duty
    /// @param store the platform, called from the lease's thread only
    /// @param self this instance
    /// @param localIncarnation its incarnation
    /// @param members returns the known instances, including this one
    steering_duty(upstream_pool& pool, object_store& store, const member& self, incarnation localIncarnation,
        std::function<std::vector<member>()> members);

    void start();

    /// Stops the threads and releases the allocator role.
    void stop();

    /// Queues a slot_request or slot_grant. Does not block; a full ring drops the message, which the sender repeats.
    void post(const envelope& message) { m_exchange.post(message); }

private:
    allocator_lease_hooks leaseHooks();
    void stepLease();
    void probeAll();
    std::size_t rank() const;

    upstream_pool& m_pool;
    member m_self;
    std::function<std::vector<member>()> m_members;
    allocator_lease m_lease;
    std::uint64_t m_leaseSteps = 0;
    duty_thread<envelope> m_exchange;
    duty_thread<int> m_leaseThread;
    duty_thread<int> m_probes;
};

} // namespace flamingoroute

#endif
