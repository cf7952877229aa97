#ifndef FLAMINGOROUTE_MOVES_MOVE_FOLLOWER_HPP
#define FLAMINGOROUTE_MOVES_MOVE_FOLLOWER_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/moves/move_observer.hpp"
#include "flamingoroute/moves/share_cap.hpp"

#include <map>
#include <vector>

namespace flamingoroute {

/// What an entry does about the moves in its configuration: keeps each share that it may give by itself, observes both
/// versions, stops a version that it sees failing, and reports. Pure: called by one duty at a time.
class move_follower {
public:
    /// What the entry knows at a tick.
    struct view {
        monotonic_time now;
        std::int64_t nowUnixMs = 0;
    };

    explicit move_follower(const move_settings& settings)
        : m_settings(settings)
    {
    }

    /// Takes the configuration in force.
    void adopt(const configuration& current, const view& at);

    /// @return whether the new version was stopped by this attempt, so that the splits have to be renewed at once
    bool recordAttempt(const observed_attempt& attempt, monotonic_time now);

    /// Takes a leader's notice: it confirms the step in force, or stops the version.
    /// @return whether it stopped a version here
    bool applyNotice(const move_observation& notice, monotonic_time now);

    /// @return whether there is a move to follow
    bool isFollowing() const { return !m_moves.empty(); }

    /// @return the splits that this entry may apply now
    std::vector<version_split> splits(const view& at) const;

    /// @return reports that are due: each second, and at once if something speaks against the new version
    std::vector<move_observation> collectDueReports(monotonic_time now);

private:
    struct followed {
        move_observer observer;
        monotonic_time confirmedAt {}; ///< when the step was adopted or a leader last confirmed it
        monotonic_time reportedAt {};
        bool hasReportedStop = false;
    };

    bool isFollowed(const version_move& move, std::int64_t nowUnixMs) const;
    bool isReportDue(const followed& each, monotonic_time now) const;

    move_settings m_settings;
    std::map<move_id, followed> m_moves;
};

} // namespace flamingoroute

#endif
