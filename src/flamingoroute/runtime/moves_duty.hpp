#ifndef FLAMINGOROUTE_RUNTIME_MOVES_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_MOVES_DUTY_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/moves/move_leader.hpp"
#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/store/lease_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace flamingoroute {

class config_publisher;
class object_store;

/// Callbacks of the moves duty into its process.
struct moves_duty_hooks {
    std::function<configuration_ptr()> currentConfiguration;
    std::function<std::vector<instance_id>()> members; ///< known instances, including this one
    message_sender send;
};

/// The control side of moves: acquires leases, merges the entries' reports and publishes the next steps.
/// A step is published as a new revision on condition of the revision that the decision was based on, so a write of a
/// holder that was paused fails. The lease only avoids duplicate work.
class moves_duty {
public:
    /// @param localInstance this instance
    /// @param localIncarnation the incarnation of this process
    /// @param store the platform; must outlive the duty
    moves_duty(const move_settings& settings, instance_id localInstance, incarnation localIncarnation,
        object_store& store, moves_duty_hooks hooks);
    ~moves_duty();

    /// Subscribes to move_observation from entries. Call before the bus listens.
    void registerWith(message_router& router);

    void start();

    /// Stops and releases the leases.
    void stop();

private:
    using leader_event = std::function<void(move_leader&)>;

    struct move_lease {
        std::unique_ptr<lease_client> client;
        version_move move;
        monotonic_time unchangedSince {};
    };

    void onTick();
    void adopt(const configuration_ptr& current, monotonic_time now);
    void stepLeases(const std::vector<instance_id>& members, monotonic_time now);
    std::unique_ptr<lease_client> makeLeaseClient(const move_id& move);
    void sendNotices(const std::vector<move_observation>& notices, const std::vector<instance_id>& members);
    void publish(const version_move& next);

    move_settings m_settings;
    instance_id m_localInstance;
    incarnation m_localIncarnation;
    object_store& m_store;
    moves_duty_hooks m_hooks;
    std::unique_ptr<config_publisher> m_publisher;
    move_leader m_leader;
    configuration_ptr m_adopted;
    monotonic_time m_mayPublishAt {}; ///< when a step may be retried on the same revision
    std::map<move_id, move_lease> m_leases;
    duty_thread<leader_event> m_thread;
};

} // namespace flamingoroute

#endif
