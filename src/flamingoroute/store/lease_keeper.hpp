#ifndef FLAMINGOROUTE_STORE_LEASE_KEEPER_HPP
#define FLAMINGOROUTE_STORE_LEASE_KEEPER_HPP

#include "flamingoroute/store/lease_machine.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <mutex>
#include <string>

namespace flamingoroute {

/// Runs a lease machine over the platform. One thread steps; any thread may ask.
class lease_keeper {
public:
    /// @param store the platform; must outlive the keeper
    lease_keeper(object_store& store, lease_settings settings, monotonic_clock now);

    /// Makes the calls that are due, at most a few; blocks on the platform. To be called several times per
    /// renew interval.
    void step();

    /// Takes and renews the lease from now on, or gives it up.
    void setWanted(bool isWanted);

    /// Releases the lease and makes the call for it at once.
    void release();

    /// @return whether this process may act under the lease now
    bool isHeld() const;

    /// @return the epoch of the current term, for fenced writes and messages; zero if the lease is not held
    object_version epoch() const;

    /// @return until when the lease is held without a renewal
    monotonic_time heldUntil() const;

    /// @return who held the lease when it was last read
    std::string seenHolder() const;

private:
    bool stepOnce();

    object_store& m_store;
    std::string m_name;
    monotonic_clock m_now;
    mutable std::mutex m_mutex;
    lease_machine m_machine;
};

} // namespace flamingoroute

#endif
