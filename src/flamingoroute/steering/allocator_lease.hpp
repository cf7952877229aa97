#ifndef FLAMINGOROUTE_STEERING_ALLOCATOR_LEASE_HPP
#define FLAMINGOROUTE_STEERING_ALLOCATOR_LEASE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/steering/allocator_record.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <functional>
#include <optional>

namespace flamingoroute {

/// Told of changes of the allocator's role of one failure domain.
struct allocator_lease_hooks {
    std::function<void(const allocator_role&)> begin; ///< this instance holds the role
    std::function<void()> end; ///< another one holds it
    std::function<void(monotonic_time askedAt)> confirm; ///< it still held the role when it asked
    std::function<void(const instance_id&, std::uint64_t epoch)> noteHolder; ///< another one holds it
    std::function<bool()> hasReserve; ///< slots are still reserved for predecessors
};

/// Keeps, or waits for, the lease of the allocator's role in the platform. Each write is a conditional update; a write
/// whose answer was lost is read back. While the platform cannot be reached the holder goes on: a successor gets only
/// slots that instances hand over to it, so that two holders never give out the same slot.
class allocator_lease {
public:
    /// @param life a holder that has not written for so long may be replaced
    allocator_lease(object_store& store, const failure_domain_id& domain, instance_run self, milliseconds life,
        allocator_lease_hooks hooks);

    /// Renews the lease, or takes it if it is free. Calls the platform once or twice.
    /// @param clock tells the time before and after the calls
    void step(const monotonic_clock& clock);

    /// Gives the role up; nothing may run under it any more.
    void release();

    bool isHeld() const { return m_held.has_value(); }

private:
    struct held_lease {
        allocator_record record;
        object_version version = 0;
    };

    void renew(const monotonic_clock& clock);
    void watch(const monotonic_clock& clock);
    void take(const std::optional<stored_object>& found, const allocator_record& next, bool isFirst);
    bool write(const std::optional<object_version>& expected, const allocator_record& next);

    object_store& m_store;
    std::string m_name;
    instance_run m_self;
    milliseconds m_life;
    allocator_lease_hooks m_hooks;
    std::optional<held_lease> m_held;
    object_version m_seenVersion = 0;
    monotonic_time m_seenAt; ///< when that version was first seen
};

} // namespace flamingoroute

#endif
