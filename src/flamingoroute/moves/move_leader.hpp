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

/// What the holder of a move's lease does: merges the entries' observations, judges, and proposes the next state. An
/// instance without the lease may listen too. Loses nothing that matters if it dies: the state is the published object.
class move_leader {
public:
    /// What the leader knows at a tick.
    struct view {
        monotonic_time now;
        std::int64_t nowUnixMs = 0;
        std::vector<instance_id> members; ///< instances that are known
        std::function<bool(const move_id&)> holdsLease;
    };

    /// What is to be done after a tick.
    struct actions {
        std::vector<version_move> publish; ///< next states, each to be published against the revision adopted last
        std::vector<move_observation> notices; ///< to every entry: confirmations of steps, and stops
    };

    explicit move_leader(const move_settings& settings)
        : m_settings(settings)
    {
    }

    /// Takes the configuration in force.
    void adopt(const configuration& current, monotonic_time now);

    /// Takes an entry's report.
    void recordReport(
        const instance_id& from, incarnation fromIncarnation, const move_observation& report, monotonic_time now);

    actions tick(const view& at);

private:
    struct source {
        incarnation number = 0;
        std::map<std::string, route_counts> routes;
    };

    struct led {
        led(const version_move& published, const move_settings& settings, monotonic_time now);

        version_move move;
        version_judge judge;
        confirmation_tracker confirmations;
        std::map<instance_id, source> sources;
        monotonic_time stepBeganAt;
        double requestsPerSecond = 0;
        std::string stopReason; ///< an entry stopped the version by itself
    };

    static void takeCounts(led& each, source& from, const route_observation& seen, monotonic_time now);
    static version_verdict verdictOf(const led& each);
    static void measureRate(led& each, monotonic_time now);

    move_settings m_settings;
    std::map<move_id, led> m_moves;
};

} // namespace flamingoroute

#endif
