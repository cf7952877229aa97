#ifndef FLAMINGOROUTE_MOVES_MOVE_FOLLOWER_HPP
#define FLAMINGOROUTE_MOVES_MOVE_FOLLOWER_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/moves/move_observer.hpp"
#include "flamingoroute/moves/share_cap.hpp"

#include <map>
#include <vector>

namespace flamingoroute {

/// Runs the moves of the configuration in one entry process: computes the local share of each move, observes both
/// versions, stops a version whose error or latency test failed, and reports. Pure: no I/O, clocks or threads. Called
/// from one thread at a time.
class move_follower {
public:
    /// The time of a call on two clocks.
    struct clock_reading {
        monotonic_time now;
        std::int64_t nowUnixMs = 0;
    };

    explicit move_follower(const move_settings& settings)
        : m_settings(settings)
    {
    }

    /// Applies the active configuration.
    void adopt(const configuration& current, const clock_reading& at);

    /// @return whether this attempt stopped the new version, so that the splits have to be recomputed at once
    bool recordAttempt(const observed_attempt& attempt, monotonic_time now);

    /// Applies a leader's notice, which confirms the current step or stops the new version.
    /// @return whether it stopped a version here
    bool applyNotice(const move_observation& notice, monotonic_time now);

    /// @return whether there is a move to follow
    bool isFollowing() const { return !m_moves.empty(); }

    /// @return the splits that this entry may apply now
    std::vector<version_split> splits(const clock_reading& at) const;

    /// @return reports that are due: every second, more often while the new version is suspicious, and at once after it
    ///         was stopped here
    std::vector<move_observation> collectDueReports(monotonic_time now);

private:
    struct followed_move {
        move_observer observer;
        monotonic_time confirmedAt {}; ///< when the step was adopted or a leader last confirmed it
        monotonic_time reportedAt {};
        bool hasReportedStop = false;
    };

    bool isFollowed(const version_move& move, std::int64_t nowUnixMs) const;
    bool isReportDue(const followed_move& followed, monotonic_time now) const;

    move_settings m_settings;
    std::map<move_id, followed_move> m_moves;
};

} // namespace flamingoroute

#endif
