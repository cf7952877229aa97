#ifndef FLAMINGOROUTE_REQUESTS_POOL_POLICY_HPP
#define FLAMINGOROUTE_REQUESTS_POOL_POLICY_HPP

#include "flamingoroute/model/monotonic_time.hpp"

namespace flamingoroute {

/// Limits on the reuse of idle connections to an upstream.
struct pool_limits {
    microseconds trustedIdle { 250'000 }; ///< usable for any request if it answered within this time
    microseconds maxIdle { 5'000'000 }; ///< closed if idle for longer
    microseconds earlyRetryAfter { 300'000 }; ///< no byte for this long moves a repeatable request to a new connection
    double earlyRetryShare = 0.05; ///< long-run ratio of early retries to exchanges
    double earlyRetryBurst = 10; ///< maximum number of early retries in a row

    bool operator==(const pool_limits&) const = default;
};

/// What may be done with an idle connection.
enum class idle_connection_use {
    use, ///< for any request
    use_with_early_retry, ///< for a repeatable request, which may move to a new connection if no byte arrives
    skip, ///< not for this request, but usable for others
    close, ///< must not be used again
};

/// Decides which idle connections to one upstream may carry a request. Existing connections can become permanently
/// unresponsive while new ones work, so only a recent answer shows that a connection is alive.
class pool_policy {
public:
    explicit pool_policy(pool_limits limits);

    /// @param lastAnswerAt when the connection last delivered a complete answer, or was opened
    /// @param isRepeatable whether the request may run more than once
    idle_connection_use classify(monotonic_time lastAnswerAt, bool isRepeatable, monotonic_time now) const;

    /// Records that a pooled connection delivered no byte in time. Connections that have not answered since are closed.
    /// @param startedAt when the exchange on the unresponsive connection began
    void recordUnresponsive(monotonic_time startedAt);

    /// Records an exchange, which adds a fraction of an early retry to the budget.
    void recordExchange();

    /// Takes one early retry from the budget.
    /// @return false if the budget is exhausted
    bool takeEarlyRetry();

    const pool_limits& limits() const { return m_limits; }

private:
    pool_limits m_limits;
    monotonic_time m_staleBefore = monotonic_time::min();
    double m_earlyRetries;
};

} // namespace flamingoroute

#endif
