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

/// Keeps a node's state up to date with what the platform's store holds: by watches of its own, or through relays.
class fleet_watch {
public:
    /// What the watch tells its node.
    struct hooks {
        /// Called when this instance's own registration is missing, again and again until it is there.
        std::function<void()> onSelfUnregistered;
        /// Called with the changes that a watch of this instance returned.
        std::function<void(const store_batch&)> onBatch;
    };

    fleet_watch(serving_state& state, watched_store& store, const fleet_port& port, hooks tell);
    ~fleet_watch();

    void start();
    void stop();

    /// @return whether all that a request needs has been read once
    bool isComplete() const;

    /// @return whether the store answered just now
    bool isConnected(monotonic_time now) const;

    /// Follows changes of this instance's part in relaying.
    void review();

    /// Takes changes that a relay passed on.
    void applyBatch(const store_batch& batch);

    /// @return how far each kind has been read
    std::vector<kind_position> positions() const;

private:
    using list_handler = std::function<void(const std::vector<fleet_object>&)>;
    using event_handler = std::function<void(const object_event&)>;

    std::shared_ptr<object_watcher> makeWatcher(const std::string& kind, list_handler onList, event_handler onEvent);
    bool mayFollow() const;

    void takeConfiguration(const fleet_object& object);
    void takeUpstream(const fleet_object& object, bool isFirstList);
    void takeUpstreams(const std::vector<fleet_object>& objects);
    void takeUpstreamEvent(const object_event& event);
    void takeVersionOrder(const fleet_object& object);
    void takeVersionOrders(const std::vector<fleet_object>& objects);
    void takeVersionOrderEvent(const object_event& event);
    void takeEvacuations(const std::vector<fleet_object>& objects);
    void takeEvacuationEvent(const object_event& event);
    void applyEvacuations();
    void takeMembers(const std::vector<fleet_object>& objects);
    void takeMember(const object_event& event);
    void keepSelfListed();

    serving_state& m_state;
    watched_store& m_store;
    const fleet_port& m_port;
    hooks m_tell;
    monotonic_time m_startedAt;
    std::set<failure_domain_id> m_evacuated;
    std::vector<std::pair<std::string, std::shared_ptr<object_watcher>>> m_watchers; ///< by kind
    std::shared_ptr<object_watcher> m_configuration;
    std::shared_ptr<object_watcher> m_members;
    bool m_isSelfListed = false; ///< the store shows this instance's registration as it is
    monotonic_time m_nextRegistration;
};

} // namespace flamingoroute

#endif
