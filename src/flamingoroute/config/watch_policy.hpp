#ifndef FLAMINGOROUTE_CONFIG_WATCH_POLICY_HPP
#define FLAMINGOROUTE_CONFIG_WATCH_POLICY_HPP

#include "flamingoroute/config/watch_step.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <functional>
#include <optional>

namespace flamingoroute {

/// Decides when an instance calls the platform. A watcher keeps a watch waiting and, now and then, reads the head, so
/// that a platform whose sequence went back is noticed. Others read only if they have had no word for a while, with
/// jitter and at a bounded rate. After failures everyone waits longer, up to a bound, and with jitter, so that nobody
/// stampedes when the platform comes back.
class watch_policy {
public:
    /// @return a number in [0, 1)
    using random_fraction = std::function<double()>;

    explicit watch_policy(random_fraction random);

    /// @param isWatcher whether this instance is one of its failure domain's watchers
    /// @param lastWord when this instance or a peer last had word from the platform
    watch_step next(bool isWatcher, std::optional<monotonic_time> lastWord, monotonic_time now);

    /// The step was made.
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
