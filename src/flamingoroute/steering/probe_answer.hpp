#ifndef FLAMINGOROUTE_STEERING_PROBE_ANSWER_HPP
#define FLAMINGOROUTE_STEERING_PROBE_ANSWER_HPP

namespace flamingoroute {

/// What an upstream's health endpoint said.
struct probe_answer {
    bool isReached = false; ///< a whole answer with status 200 came in time
    bool isLeaving = false;
    double load = -1; ///< 0 to 1; negative if it said none

    bool operator==(const probe_answer&) const = default;
};

} // namespace flamingoroute

#endif
