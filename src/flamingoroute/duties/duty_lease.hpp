#ifndef FLAMINGOROUTE_DUTIES_DUTY_LEASE_HPP
#define FLAMINGOROUTE_DUTIES_DUTY_LEASE_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/lease_machine.hpp"
#include "flamingoroute/store/object_access.hpp"

namespace flamingoroute {

/// The lease of a duty that one instance of the fleet performs at a time. Its epoch is the fencing token: it increases
/// with each new holder. A lease is never released: the next holder takes it a whole term after the last renewal, so
/// two holders cannot alternate within a term. Must outlive its calls to the store.
class duty_lease {
public:
    /// @param access the lease's object
    /// @param now a clock that also advances while the machine is suspended
    duty_lease(const lease_settings& settings, object_access access, monotonic_clock now);

    /// Makes the next call to the store if it is due. To be called several times a second.
    /// @param isCandidate whether to acquire and renew the lease; if false, a held lease runs out
    void poll(bool isCandidate);

    /// @return the fencing token while this instance may act; else zero
    object_version token() const { return m_machine.epoch(m_now()); }

    /// @return for how long this instance may act under @p token; zero or less if it may not
    microseconds timeLeft(object_version token) const;

    /// @return the holder as last read or written; empty if unknown
    const std::string& lastSeenHolder() const { return m_machine.lastSeenHolder(); }

private:
    void read();
    void write(const lease_call& call);
    void onRead(tl::expected<stored_object, error> answer);
    void onWritten(
        const lease_call& call, monotonic_time requestedAt, const tl::expected<object_version, error>& answer);

    lease_settings m_settings;
    object_access m_access;
    monotonic_clock m_now;
    lease_machine m_machine;
    bool m_isCalling = false;
    bool m_mayReadStale = false; ///< the last call was a read that showed the lease
    object_version m_unreadableVersion = 0; ///< of the last malformed object that was logged
};

} // namespace flamingoroute

#endif
