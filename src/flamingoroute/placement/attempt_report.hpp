#ifndef FLAMINGOROUTE_PLACEMENT_ATTEMPT_REPORT_HPP
#define FLAMINGOROUTE_PLACEMENT_ATTEMPT_REPORT_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <optional>

namespace flamingoroute {

/// Running and waiting requests and the number of slots, as an upstream reported them in an answer.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes there now, in percent of the usual; empty if not reported.
    std::optional<double> workTimePercent = std::nullopt;

    bool operator==(const reported_load&) const = default;
};

enum class attempt_verdict {
    served, ///< complete answer, no failure
    failed, ///< complete answer with a failure status, or one that cannot be trusted
    shed, ///< refused, the request did not run
    broken, ///< connection lost before a complete answer, or no response at all
    unreachable, ///< could not connect
    misdirected, ///< the address belongs to another upstream now
    timed_out, ///< no answer by the deadline, or later than expected when the caller disconnected
    abandoned, ///< the caller disconnected before the answer was late; not counted against the upstream
};

/// Result of one attempt, as recorded for its upstream.
struct attempt_report {
    attempt_verdict verdict = attempt_verdict::served;
    std::optional<reported_load> load;
    std::optional<milliseconds> remainingColdTime; ///< remaining time as a cold upstream, if the answer reports it
    std::optional<double> requestLimit; ///< requests per second that the upstream accepts, if the answer names a limit
    std::optional<milliseconds> pause; ///< the upstream turned the request away and wants none for so long
    double timeRatio = 0; ///< elapsed time divided by the time expected of a healthy upstream; 0: unknown
};

} // namespace flamingoroute

#endif
