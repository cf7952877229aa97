#ifndef FLAMINGOROUTE_PLACEMENT_ATTEMPT_REPORT_HPP
#define FLAMINGOROUTE_PLACEMENT_ATTEMPT_REPORT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <optional>

namespace flamingoroute {

/// How many requests an upstream said it holds.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;

    bool operator==(const reported_load&) const = default;
};

enum class attempt_verdict {
    served, ///< a whole answer that is no failure
    failed, ///< a whole answer that is a failure
    shed, ///< refused as not run
    broken, ///< no whole answer
    unreachable, ///< no connection
    misdirected, ///< the address belongs to another upstream now
    timed_out, ///< no answer by the time limit
    abandoned, ///< given up by the caller before it was overdue; says little of the upstream
};

/// What one attempt showed of its upstream.
struct attempt_report {
    attempt_verdict verdict = attempt_verdict::served;
    std::optional<reported_load> load;
    std::optional<milliseconds> coldFor;
    double timeRatio = 0; ///< time taken against the time expected of a sound upstream; zero if not known
    bool isLeaving = false; ///< the upstream closes its connections
};

} // namespace flamingoroute

#endif
