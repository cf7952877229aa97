#ifndef FLAMINGOROUTE_PLACEMENT_ATTEMPT_REPORT_HPP
#define FLAMINGOROUTE_PLACEMENT_ATTEMPT_REPORT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <optional>

namespace flamingoroute {

/// Load that an upstream reported with an answer, in requests.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;

    bool operator==(const reported_load&) const = default;
};

enum class attempt_verdict {
    served, ///< complete answer, no failure
    failed, ///< complete answer that is a failure
    shed, ///< refused, the request did not run
    broken, ///< connection ended before a complete answer, or no answer from an unresponsive upstream
    unreachable, ///< could not connect
    misdirected, ///< the address belongs to another upstream now
    timed_out, ///< no answer by the deadline, or overdue when the caller disconnected
    abandoned, ///< the caller disconnected before the answer was overdue; not counted against the upstream
};

/// Result of one attempt, as recorded for its upstream.
struct attempt_report {
    attempt_verdict verdict = attempt_verdict::served;
    std::optional<reported_load> load;
    std::optional<milliseconds> remainingColdTime;
    double timeRatio = 0; ///< elapsed time divided by the time expected of a healthy upstream; 0: unknown
    bool isLeaving = false; ///< the upstream closes its connections
};

} // namespace flamingoroute

#endif
