#ifndef FLAMINGOROUTE_TESTS_SCENARIOS_CONFIG_FLEET_HPP
#define FLAMINGOROUTE_TESTS_SCENARIOS_CONFIG_FLEET_HPP

#include "flamingoroute/config/config_replica.hpp"
#include "flamingoroute/config/watch_policy.hpp"
#include "flamingoroute/keys/key_authenticator.hpp"
#include "support/store/fake_object_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Instances with real replicas, watch policies and key checks on a virtual clock, over a network and a platform that
/// can be cut. Instances are "i1", "i2", ..., failure domains "d1", "d2", ..., filled in turn.
class config_fleet {
public:
    explicit config_fleet(std::uint64_t seed);

    void build(int instances, int domains);
    void advanceTo(microseconds now);

    void partitionFromPlatform(const std::string& domain) { m_cutFromPlatform.insert(domain); }
    void partitionFromPeers(const std::string& domain) { m_cutFromPeers.insert(domain); }
    void heal();
    void sleep(const std::string& instance);
    void wake(const std::string& instance);
    void restart(const std::string& instance);
    void remember(const std::string& instance);
    void rollBack(const std::string& instance);
    void flood(const key_withdrawal& withdrawal, const std::string& from);

    std::vector<std::string> names() const;
    bool isKnown(const std::string& instance) const { return m_nodes.count(instance) > 0; }
    const config_replica& replica(const std::string& instance) const { return *m_nodes.at(instance).replica; }
    bool isKeyAccepted(const std::string& instance, const std::string& key) const;
    const std::string& domainOf(const std::string& instance) const { return m_nodes.at(instance).domain; }
    std::size_t faultsAt(const std::string& instance) const { return m_nodes.at(instance).faults; }
    revision highest() const;

    /// @return the first instance that ever went back, or empty
    const std::string& wentBack() const { return m_wentBack; }

    fake_object_store store;
    std::uint64_t platformCalls = 0; ///< by instances

    static key_hasher hasher() { return key_hasher("pepper of the scenarios"); }

private:
    struct node {
        std::string domain;
        std::unique_ptr<config_replica> replica;
        std::unique_ptr<config_replica> remembered;
        std::unique_ptr<watch_policy> policy;
        std::unique_ptr<key_authenticator> keys;
        std::optional<monotonic_time> platformAnsweredAt;
        object_version watchedVersion = 0;
        revision highestSeen = 0;
        bool isAsleep = false;
        int life = 0; ///< goes up with each restart; messages to an earlier life are lost
        std::size_t faults = 0;
        std::vector<std::function<void()>> waiting; ///< what arrives while it sleeps
    };

    using replica_event = std::function<replica_actions(config_replica&, monotonic_time)>;

    monotonic_time now() const { return monotonic_time(m_now); }
    std::unique_ptr<config_replica> makeReplica();
    void reset(node& fresh);
    void setPeers();
    bool isLinked(const std::string& from, const std::string& to) const;
    bool isPlatformReached(const node& from) const;
    void after(microseconds delay, std::function<void()> event);
    void send(const std::string& from, const std::string& to, replica_event event);
    void noteRevision(const std::string& instance);
    void perform(const std::string& instance, const replica_actions& actions);
    void tick(const std::string& instance);
    void callPlatform(const std::string& instance, watch_step step);
    void readChunk(const std::string& instance, const std::string& hash);
    bool isWatcher(const std::string& instance) const;

    std::mt19937_64 m_random;
    microseconds m_now { 0 };
    std::multimap<microseconds, std::function<void()>> m_events;
    std::map<std::string, node> m_nodes;
    std::set<std::string> m_cutFromPlatform;
    std::set<std::string> m_cutFromPeers;
    std::string m_wentBack;
};

} // namespace flamingoroute::testing

#endif
