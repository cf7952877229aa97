#ifndef FLAMINGOROUTE_RUNTIME_FLEET_WATCH_HPP
#define FLAMINGOROUTE_RUNTIME_FLEET_WATCH_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/store/object_watcher.hpp"

#include <functional>
#include <memory>
#include <set>

namespace flamingoroute {

struct fleet_port;
struct serving_state;

/// Keeps a node's state up to date with what the platform's store holds.
class fleet_watch {
public:
    /// @param onSelfUnregistered called when this instance's own registration is missing
    fleet_watch(
        serving_state& state, watched_store& store, const fleet_port& port, std::function<void()> onSelfUnregistered);
    ~fleet_watch();

    void start();
    void stop();

    /// @return whether all that a request needs has been read once
    bool isComplete() const;

    /// @return whether the store answered last time
    bool isConnected() const;

private:
    std::shared_ptr<object_watcher> makeWatcher(const std::string& kind, object_watcher::handlers handle);

    void takeConfiguration(const fleet_object& object);
    void takeUpstream(const fleet_object& object, bool isFirstList);
    void takeUpstreams(const std::vector<fleet_object>& objects);
    void takeVersionOrder(const fleet_object& object);
    void takeVersionOrders(const std::vector<fleet_object>& objects);
    void applyEvacuations();
    void takeMembers(const std::vector<fleet_object>& objects);
    void takeMember(const object_event& event);

    serving_state& m_state;
    watched_store& m_store;
    const fleet_port& m_port;
    std::function<void()> m_onSelfUnregistered;
    std::set<failure_domain_id> m_evacuated;
    std::shared_ptr<object_watcher> m_configuration;
    std::shared_ptr<object_watcher> m_upstreams;
    std::shared_ptr<object_watcher> m_orders;
    std::shared_ptr<object_watcher> m_evacuations;
    std::shared_ptr<object_watcher> m_members;
};

} // namespace flamingoroute

#endif
