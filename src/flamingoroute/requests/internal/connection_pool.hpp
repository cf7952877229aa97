#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_CONNECTION_POOL_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_CONNECTION_POOL_HPP

#include "flamingoroute/requests/internal/upstream_connection.hpp"
#include "flamingoroute/requests/pool_policy.hpp"

#include <memory>
#include <mutex>
#include <vector>

namespace flamingoroute::internal {

/// The idle connections to one upstream, and a count of all open ones. Thread-safe.
class connection_pool {
public:
    /// @param maxConnections limit on open connections, in use or idle
    connection_pool(int maxConnections, pool_limits limits);

    /// @return the usable idle connection that answered most recently, or null if none may carry the request
    std::unique_ptr<upstream_connection> takeIdle(bool isRepeatable, monotonic_time now);

    /// Reserves a connection that is about to be opened; if the limit is reached, closes the one idle longest.
    /// @return false if the limit is reached and no connection is idle
    bool reserve();

    /// Releases the reservation of a connection that was closed or could not be opened.
    void countClosed();

    /// Returns a connection to the pool for the next exchange.
    void putIdle(std::unique_ptr<upstream_connection> connection);

    /// Closes connections that have been idle for too long or that have not answered since an unresponsive
    /// exchange began.
    void closeStale(monotonic_time now);

    /// Records that a pooled connection delivered no byte in time; closes idle ones that have not answered since then.
    void recordUnresponsive(monotonic_time startedAt, monotonic_time now);

    void recordExchange();
    bool takeEarlyRetry();

    int openCount() const;

private:
    void closeStaleLocked(monotonic_time now);

    mutable std::mutex m_mutex;
    int m_maxConnections;
    int m_openCount = 0;
    pool_policy m_policy;
    std::vector<std::unique_ptr<upstream_connection>> m_idle; ///< the one returned last is at the back
};

} // namespace flamingoroute::internal

#endif
