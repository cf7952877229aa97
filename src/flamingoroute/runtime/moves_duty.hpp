#ifndef FLAMINGOROUTE_RUNTIME_MOVES_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_MOVES_DUTY_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/moves/move_leader.hpp"
#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/store/lease_keeper.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace flamingoroute {

class config_publisher;
class object_store;

/// What the moves duty needs from its process.
struct moves_duty_hooks {
    std::function<configuration_ptr()> currentConfiguration;
    std::function<std::vector<instance_id>()> members; ///< instances that are known, this one included
    message_sender send;
};

/// The control side of moves: seeks the leases, merges the entries' reports and publishes the next steps.
/// A step is a new revision against the one that the decision was made on, so an act of a holder that was paused fails.
/// The lease only spares double work.
class moves_duty {
public:
    /// @param self this instance
    /// @param own the incarnation of this process
    /// @param store the platform; must outlive the duty
    moves_duty(
        const move_settings& settings, instance_id self, incarnation own, object_store& store, moves_duty_hooks hooks);
    ~moves_duty();

    /// Takes move_observation from entries; to be called before the bus listens.
    void registerWith(message_router& router);

    void start();

    /// Stops and gives the leases back.
    void stop();

private:
    using leader_event = std::function<void(move_leader&)>;

    struct sought_lease {
        std::unique_ptr<lease_keeper> keeper;
        version_move move;
        monotonic_time unchangedSince {};
    };

    void onTick();
    void adopt(const configuration_ptr& current, monotonic_time now);
    void seekLeases(const std::vector<instance_id>& members, monotonic_time now);
    std::unique_ptr<lease_keeper> makeKeeper(const move_id& move);
    void sendNotices(const std::vector<move_observation>& notices, const std::vector<instance_id>& members);
    void publish(const version_move& next);

    move_settings m_settings;
    instance_id m_self;
    incarnation m_own;
    object_store& m_store;
    moves_duty_hooks m_hooks;
    std::unique_ptr<config_publisher> m_publisher;
    move_leader m_leader;
    configuration_ptr m_adopted;
    monotonic_time m_mayPublishAt {}; ///< when a step may be tried again on the same revision
    std::map<move_id, sought_lease> m_leases;
    duty_thread<leader_event> m_thread;
};

} // namespace flamingoroute

#endif
