#ifndef FLAMINGOROUTE_MOVES_MOVE_LEADER_HPP
#define FLAMINGOROUTE_MOVES_MOVE_LEADER_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/moves/confirmation_tracker.hpp"
#include "flamingoroute/moves/move_observation.hpp"
#include "flamingoroute/moves/version_judge.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace flamingoroute {

/// Runs at the holder of a move's lease: merges the entries' observations, evaluates them, and proposes the next state.
/// An instance without the lease may receive reports too; it then only sends notices of a bad version. No state has to
/// survive its termination: the state of a move is the published object.
class move_leader {
public:
    /// The inputs of a tick.
    struct view {
        monotonic_time now;
        std::int64_t nowUnixMs = 0;
        std::vector<instance_id> members; ///< the known instances
        std::function<bool(const move_id&)> holdsLease;
    };

    /// The actions to perform after a tick.
    struct actions {
        std::vector<version_move> publish; ///< next states, each to be published against the last adopted revision
        std::vector<move_observation> notices; ///< to every entry: they confirm the step or stop the version
    };

    explicit move_leader(const move_settings& settings)
        : m_settings(settings)
    {
    }

    /// Applies the active configuration.
    void adopt(const configuration& current, monotonic_time now);

    /// Merges an entry's report. Counts of an older incarnation are ignored.
    void recordReport(
        const instance_id& from, incarnation fromIncarnation, const move_observation& report, monotonic_time now);

    actions tick(const view& at);

private:
    struct source {
        incarnation number = 0;
        std::map<std::string, route_counts> routes;
    };

    struct led_move {
        led_move(const version_move& published, const move_settings& settings, monotonic_time now);

        version_move move;
        version_judge judge;
        confirmation_tracker confirmations;
        std::map<instance_id, source> sources;
        monotonic_time stepBeganAt;
        double requestsPerSecond = 0;
        std::string stopReason; ///< set once an entry has stopped the version locally
    };

    static void addCounts(led_move& each, source& from, const route_observation& observed, monotonic_time now);
    static version_verdict verdictOf(const led_move& each);
    static void measureRate(led_move& each, monotonic_time now);

    move_settings m_settings;
    std::map<move_id, led_move> m_moves;
};

} // namespace flamingoroute

#endif
