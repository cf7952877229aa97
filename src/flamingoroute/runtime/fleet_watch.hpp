#ifndef FLAMINGOROUTE_RUNTIME_FLEET_WATCH_HPP
#define FLAMINGOROUTE_RUNTIME_FLEET_WATCH_HPP

#include "flamingoroute/fleet/kind_position.hpp"
#include "flamingoroute/fleet/store_batch.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/store/object_watcher.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingoroute {

struct fleet_port;
struct serving_state;

/// Keeps a node's state in sync with the platform's store, by its own watches or through relays.
class fleet_watch {
public:
    /// Callbacks into the node.
    struct hooks {
        /// Called repeatedly while the registration of this instance is missing or differs.
        std::function<void()> onSelfUnregistered;
        /// Called with the changes that a watch of this instance returned.
        std::function<void(const store_batch&)> onBatch;
    };

    fleet_watch(serving_state& state, watched_store& store, const fleet_port& port, hooks callbacks);
    ~fleet_watch();

    void start();
    void stop();

    /// @return whether everything that requests need has been read once
    bool isComplete() const;

    /// @return whether all watches are connected and the store answered recently
    bool isConnected(monotonic_time now) const;

    /// Adapts the watches to whether this instance is a relay, and registers the instance if necessary.
    void updateWatches();

    /// Applies changes that a relay forwarded.
    void applyBatch(const store_batch& batch);

    /// Reads an order again whose revision the store did not accept.
    void refreshVersionOrder(const service_id& service);

    /// @return the store position up to which each kind has been read
    std::vector<kind_position> positions() const;

private:
    using list_handler = std::function<void(const std::vector<fleet_object>&)>;
    using event_handler = std::function<void(const object_event&)>;

    std::shared_ptr<object_watcher> makeWatcher(const std::string& kind, list_handler onList, event_handler onEvent);
    bool mayFollow() const;

    void applyConfiguration(const fleet_object& object);
    void applyUpstream(const fleet_object& object, bool isFirstList);
    void applyUpstreams(const std::vector<fleet_object>& objects);
    void applyUpstreamEvent(const object_event& event);
    void applyVersionOrder(const fleet_object& object);
    void applyVersionOrders(const std::vector<fleet_object>& objects);
    void applyVersionOrderEvent(const object_event& event);
    void recordEvacuations(const std::vector<fleet_object>& objects);
    void recordEvacuationEvent(const object_event& event);
    void applyEvacuations();
    void applyMembers(const std::vector<fleet_object>& objects);
    void applyMemberEvent(const object_event& event);
    void ensureSelfRegistered();

    serving_state& m_state;
    watched_store& m_store;
    const fleet_port& m_port;
    hooks m_hooks;
    monotonic_time m_startedAt;
    std::set<failure_domain_id> m_evacuated;
    std::vector<std::pair<std::string, std::shared_ptr<object_watcher>>> m_watchers; ///< by kind
    std::shared_ptr<object_watcher> m_configuration;
    std::shared_ptr<object_watcher> m_members;
    bool m_isSelfRegistered = false; ///< the stored registration of this instance is current
    monotonic_time m_nextRegistration;
};

} // namespace flamingoroute

#endif
