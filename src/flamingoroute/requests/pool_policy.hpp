#ifndef FLAMINGOROUTE_REQUESTS_POOL_POLICY_HPP
#define FLAMINGOROUTE_REQUESTS_POOL_POLICY_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// How long an idle connection to an upstream is trusted.
struct pool_limits {
    microseconds trustedIdle { 250'000 }; ///< used for any request if it answered within this time
    microseconds maxIdle { 5'000'000 }; ///< closed if it was idle for longer
    microseconds earlyRetryAfter { 300'000 }; ///< a repeatable request moves to a new connection after this silence
    double earlyRetryShare = 0.05; ///< early retries per exchange, in the long run
    double earlyRetryBurst = 10; ///< early retries in a row

    bool operator==(const pool_limits&) const = default;
};

/// What may be done with an idle connection.
enum class idle_connection_use {
    use, ///< trusted
    use_with_early_retry, ///< for a repeatable request, which moves to a new connection if this one is silent
    skip, ///< not for this request, but good for others
    close, ///< not to be used again
};

/// Decides which idle connections to one upstream may carry a request. Connections can go silent for good while new
/// ones work, so a connection counts as open only by a recent answer on it.
class pool_policy {
public:
    explicit pool_policy(pool_limits limits);

    /// @param lastAnswerAt when the connection last gave a whole answer, or was opened
    /// @param isRepeatable whether the request may run twice
    idle_connection_use classify(monotonic_time lastAnswerAt, bool isRepeatable, monotonic_time now) const;

    /// Told when a pooled connection gave no byte in time. Connections that have not answered since are closed.
    /// @param startedAt when the request was written on the silent connection
    void recordUnresponsive(monotonic_time startedAt);

    /// Told of each exchange; earns a part of an early retry.
    void recordExchange();

    /// Takes an early retry out of the budget.
    /// @return false if the budget is used up
    bool takeEarlyRetry();

    const pool_limits& limits() const { return m_limits; }

private:
    pool_limits m_limits;
    monotonic_time m_staleBefore = monotonic_time::min();
    double m_earlyRetries;
};

} // namespace flamingoroute

#endif
