#ifndef FLAMINGOROUTE_STEERING_PROBE_ANSWER_HPP
#define FLAMINGOROUTE_STEERING_PROBE_ANSWER_HPP

namespace flamingoroute {

/// The result of one probe of an upstream's health endpoint.
struct probe_answer {
    bool isReached = false; ///< a complete answer with status 200 arrived in time
    bool isLeaving = false;
    double load = -1; ///< 0 to 1; negative if not reported

    bool operator==(const probe_answer&) const = default;
};

} // namespace flamingoroute

#endif
