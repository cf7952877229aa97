#ifndef FLAMINGOROUTE_MOVES_MOVE_OBSERVER_HPP
#define FLAMINGOROUTE_MOVES_MOVE_OBSERVER_HPP

#include "flamingoroute/model/version_move.hpp"
#include "flamingoroute/moves/latency_classifier.hpp"
#include "flamingoroute/moves/move_observation.hpp"
#include "flamingoroute/moves/observed_attempt.hpp"
#include "flamingoroute/moves/version_judge.hpp"

#include <map>
#include <set>
#include <string>

namespace flamingoroute {

/// Counts the attempts of one entry at both versions of a move, and evaluates them locally.
class move_observer {
public:
    move_observer(const version_move& move, const move_settings& settings, monotonic_time now);

    /// Applies the published state of the same move; a new step resets the counts.
    void adopt(const version_move& move, monotonic_time now);

    void recordAttempt(const observed_attempt& attempt, monotonic_time now);

    /// Stops the new version here, also on the verdict of another instance.
    void stop(const std::string& reason);

    bool isStopped() const { return m_isStopped; }
    bool isSuspicious() const { return m_judge.isSuspicious(); }
    const version_move& move() const { return m_move; }

    /// @return the report to send; routes without new attempts since the last call are left out
    move_observation collectObservation();

private:
    route_counts classify(const observed_attempt& attempt, monotonic_time now);

    version_move m_move;
    version_judge m_judge;
    std::map<std::string, latency_classifier> m_latencies;
    std::map<std::string, route_counts> m_counts;
    std::set<std::string> m_unreported;
    bool m_isStopped = false;
    std::string m_reason;
};

} // namespace flamingoroute

#endif
