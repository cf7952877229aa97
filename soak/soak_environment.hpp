#ifndef FLAMINGOROUTE_SOAK_SOAK_ENVIRONMENT_HPP
#define FLAMINGOROUTE_SOAK_SOAK_ENVIRONMENT_HPP

#include "soak/soak_checker.hpp"
#include "support/platform/platform_node.hpp"
#include "support/platform/platform_store_stand_in.hpp"
#include "support/process/fault_proxy.hpp"
#include "support/process/raw_upstream.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace flamingoroute::soak {

/// The nodes, their store, their upstreams and the links between them. Functions that start or end a fault take effect
/// at once; scheduling is up to the code that calls them. Only the thread that owns the environment may call them;
/// threads that send requests use nodeNames(), version(), keyOf() and callerAddress().
class soak_environment {
public:
    soak_environment(std::size_t nodes, std::size_t upstreams, soak_checker& checker);
    ~soak_environment();

    /// @return whether all nodes became ready
    bool waitUntilReady() const;

    std::vector<std::string> nodeNames() const;
    std::vector<std::string> upstreamNames() const;
    endpoint callerAddress(const std::string& node) const;

    /// @return the version of the newest configuration
    int version() const { return m_version; }
    /// @return the only key of the customer in a version of the configuration
    static std::string keyOf(const std::string& customer, int version);

    void stopNode(const std::string& node);
    void killNode(const std::string& node);
    void pauseNode(const std::string& node);
    void resumeNode(const std::string& node);
    /// Restarts nodes whose processes have exited. Kills and reports a node that runs on after its grace period.
    void restartExitedNodes();

    void setStoreDown(bool isDown);
    void setStoreLosingAnswers(bool isLosing);
    void dropStoreHistory();
    /// Keeps a copy of the store for restoreStore().
    void copyStore() { m_store.copy(); }
    /// Returns the store to its last copy. The operator and the upstreams write again what they have written.
    void restoreStore();
    void setStoreLink(const std::string& node, const testing::link_fault& fault);
    void setUpstreamLink(const std::string& upstream, const testing::link_fault& fault);

    void publishConfiguration();
    void setEvacuated(const std::string& failureDomain, bool isEvacuated);
    void drainUpstream(const std::string& upstream);
    void crashUpstream(const std::string& upstream);
    void slowUpstream(const std::string& upstream, milliseconds work);
    /// Restores the default service time of an upstream.
    void restoreUpstream(const std::string& upstream);
    /// Removes an upstream that has left or crashed, and starts another in its place.
    void replaceUpstream(const std::string& upstream);

    /// Ends all faults.
    void heal();

private:
    struct node_entry;
    struct upstream_entry;

    void addUpstream();
    void serve(upstream_entry& self, testing::raw_upstream& socket, Poco::Net::StreamSocket& connection);
    static std::string registrationText(const upstream_entry& upstream);
    /// Removes the objects of a kind that their writers have removed.
    void removeOthers(const std::string& kind, const std::function<bool(const std::string& name)>& isCurrent);

    soak_checker& m_checker;
    testing::platform_store_stand_in m_store;
    testing::fault_proxy m_proxy;
    std::map<std::string, std::unique_ptr<upstream_entry>> m_upstreams;
    std::vector<std::unique_ptr<upstream_entry>> m_removed; ///< their connections may still be open
    std::map<std::string, std::unique_ptr<node_entry>> m_nodes;
    std::set<std::string> m_evacuated;
    int m_upstreamNumber = 0;
    std::atomic<int> m_version { 0 };
};

} // namespace flamingoroute::soak

#endif
