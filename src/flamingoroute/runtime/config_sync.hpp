#ifndef FLAMINGOROUTE_RUNTIME_CONFIG_SYNC_HPP
#define FLAMINGOROUTE_RUNTIME_CONFIG_SYNC_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/runtime/config_duty.hpp"
#include "flamingoroute/runtime/config_sync_hooks.hpp"
#include "flamingoroute/runtime/membership_duty.hpp"
#include "flamingoroute/runtime/watch_duty.hpp"

#include <memory>
#include <vector>

namespace flamingoroute {

class member_directory;
class object_store;
class peer_bus;

/// Keeps the configuration and the members of a process up to date: runs membership, the configuration replica and, in
/// a process with a store, the watch. Also updates the member directory.
class config_sync {
public:
    /// @param directory receives the members; must outlive this object, like @p bus
    /// @param store the platform, or null for a process that receives the configuration from peers only
    config_sync(const member& self, process_role role, incarnation localIncarnation, const std::vector<member>& seeds,
        member_directory& directory, peer_bus& bus, object_store* store, config_sync_hooks hooks);
    ~config_sync();

    /// Call before the bus listens.
    void registerWith(message_router& router);

    void start();
    void stop();

    configuration_ptr current() const { return m_config.current(); }
    config_position position() const { return m_config.position(); }

    /// @return the position last read from the platform by this process; lower than position() after a restore
    config_position storePosition() const { return m_config.storePosition(); }

    bool isReady() const { return m_config.isReady(); }
    std::vector<member_status> members() const { return m_members.members(); }

    /// Sends to a process of an instance; drops the message if the instance is not known.
    void send(const instance_id& to, process_role role, message_kind kind, std::string body) const;

private:
    config_duty_hooks configHooks();
    membership_duty_hooks membershipHooks();
    watch_duty_hooks watchHooks();
    void onMembers(const std::vector<member_status>& members, const std::vector<instance_id>& remoteBridges);
    replica_peers peersOf(
        const std::vector<member_status>& members, const std::vector<instance_id>& remoteBridges) const;
    bool isWatcher(const std::vector<member_status>& members) const;
    std::optional<monotonic_time> lastPlatformAnswerAt() const;

    member m_self;
    process_role m_role;
    member_directory& m_directory;
    peer_bus& m_bus;
    config_sync_hooks m_hooks;
    config_duty m_config;
    membership_duty m_members;
    std::unique_ptr<watch_duty> m_watch;
};

} // namespace flamingoroute

#endif
