#ifndef FLAMINGOROUTE_STEERING_ALLOCATOR_LEASE_HPP
#define FLAMINGOROUTE_STEERING_ALLOCATOR_LEASE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/steering/allocator_record.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <functional>
#include <optional>

namespace flamingoroute {

/// Callbacks for changes of the allocator role of one failure domain.
struct allocator_lease_hooks {
    std::function<void(const allocator_role&)> begin; ///< this instance has taken the role
    std::function<void()> end; ///< this instance has lost the role to another one
    std::function<void(monotonic_time requestedAt)> confirm; ///< the role was still held when the renewal was sent
    std::function<void(const instance_id&, std::uint64_t epoch)> recordHolder; ///< another instance holds the role
    std::function<bool()> hasReserve; ///< whether slots are still reserved for predecessors
};

/// Holds, or waits for, the lease of the allocator role, which is stored in the platform. Each write is a conditional
/// update; a write whose response was lost is read back. While the platform is unreachable the holder keeps the role:
/// a successor gets only slots that instances hand over to it, so that two holders never grant the same slot.
class allocator_lease {
public:
    /// @param leaseDuration a holder that has not written for this long may be replaced
    allocator_lease(object_store& store, const failure_domain_id& domain, instance_run localRun,
        milliseconds leaseDuration, allocator_lease_hooks hooks);

    /// Renews the lease, or takes it if it is free. Calls the platform once or twice, three times if a response is
    /// lost.
    /// @param clock read before a renewal is sent, and after the record of another holder is read
    void step(const monotonic_clock& clock);

    /// Releases the lease. Nothing may run under the role any more.
    void release();

    bool isHeld() const { return m_held.has_value(); }

private:
    struct held_lease {
        allocator_record record;
        object_version version = 0;
    };

    void renew(const monotonic_clock& clock);
    void watch(const monotonic_clock& clock);
    void acquire(const std::optional<stored_object>& found, const allocator_record& next, bool isFirst);
    bool write(const std::optional<object_version>& expected, const allocator_record& next);

    object_store& m_store;
    std::string m_name;
    instance_run m_localRun;
    milliseconds m_leaseDuration;
    allocator_lease_hooks m_hooks;
    std::optional<held_lease> m_held;
    object_version m_seenVersion = 0;
    monotonic_time m_seenAt; ///< when that version was first read
};

} // namespace flamingoroute

#endif
