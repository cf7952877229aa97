#ifndef FLAMINGOROUTE_CONFIG_WATCH_POLICY_HPP
#define FLAMINGOROUTE_CONFIG_WATCH_POLICY_HPP

#include "flamingoroute/config/watch_step.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <functional>
#include <optional>

namespace flamingoroute {

/// Decides when an instance calls the platform. A watcher keeps a watch pending and periodically reads the head, to
/// detect a platform whose sequence number went back. Other instances read only if their last contact with the platform
/// is stale, with jitter and at a bounded rate. After failures all instances back off with jitter, up to a bound, to
/// avoid a thundering herd when the platform recovers.
class watch_policy {
public:
    /// @return a number in [0, 1)
    using random_fraction = std::function<double()>;

    explicit watch_policy(random_fraction random);

    /// @param isWatcher whether this instance is one of its failure domain's watchers
    /// @param lastContactAt when the platform last answered this instance or a peer; nullopt: never
    watch_step next(bool isWatcher, std::optional<monotonic_time> lastContactAt, monotonic_time now);

    /// Called when a step is complete.
    /// @param isAnswered whether the platform answered
    void onDone(watch_step step, bool isAnswered, monotonic_time now);

private:
    milliseconds jittered(milliseconds time) const;

    random_fraction m_random;
    bool m_hasRead = false;
    int m_failures = 0;
    monotonic_time m_notBefore;
    monotonic_time m_nextHead;
    monotonic_time m_nextInstances;
};

} // namespace flamingoroute

#endif
