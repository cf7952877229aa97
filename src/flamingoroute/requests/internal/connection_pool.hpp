#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_CONNECTION_POOL_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_CONNECTION_POOL_HPP

#include "flamingoroute/requests/internal/upstream_connection.hpp"
#include "flamingoroute/requests/pool_policy.hpp"

#include <memory>
#include <mutex>
#include <vector>

namespace flamingoroute::internal {

/// The connections to one upstream: those idle, and a count of all.
class connection_pool {
public:
    /// @param maxConnections open at one time, in use or idle
    connection_pool(int maxConnections, pool_limits limits);

    /// @return the idle connection that answered last, or null if none may carry the request
    std::unique_ptr<upstream_connection> takeIdle(bool isRepeatable, monotonic_time now);

    /// Counts a connection about to be opened; an idle one is closed to make room.
    /// @return false if the bound on connections is reached
    bool reserve();

    /// Counts off a connection that was closed or could not be opened.
    void countClosed();

    /// Keeps a connection for the next exchange.
    void putIdle(std::unique_ptr<upstream_connection> connection);

    /// Closes connections that are idle for too long.
    void closeStale(monotonic_time now);

    /// Told when a connection gave no byte in time; closes the idle ones that have not answered since.
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
    std::vector<std::unique_ptr<upstream_connection>> m_idle; ///< the one that answered last is at the back
};

} // namespace flamingoroute::internal

#endif
