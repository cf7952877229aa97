#ifndef FLAMINGOROUTE_STORE_LEASE_CLIENT_HPP
#define FLAMINGOROUTE_STORE_LEASE_CLIENT_HPP

#include "flamingoroute/store/lease_machine.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <mutex>
#include <string>

namespace flamingoroute {

/// Runs a lease machine on the platform's object store. One thread calls step() and release(); any thread may
/// call the other functions.
class lease_client {
public:
    /// @param store the platform; must outlive the client
    lease_client(object_store& store, lease_settings settings, monotonic_clock now);

    /// Makes the calls that are due, at most a few; blocks on the platform. Must be called several times per renew
    /// interval.
    void step();

    /// Sets whether later steps acquire and renew the lease, or release it.
    void setWanted(bool isWanted);

    /// Stops acquiring the lease and makes the calls that release it now.
    void release();

    /// @return whether this process may act under the lease now
    bool isHeld() const;

    /// @return the epoch of the current term, for fenced writes and messages; zero if the lease is not held
    object_version epoch() const;

    /// @return when the lease expires unless it is renewed
    monotonic_time heldUntil() const;

    /// @return the holder of the lease as last read or written
    std::string lastSeenHolder() const;

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
