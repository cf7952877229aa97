#ifndef FLAMINGOROUTE_TESTS_SCENARIOS_STEERING_FLEET_HPP
#define FLAMINGOROUTE_TESTS_SCENARIOS_STEERING_FLEET_HPP

#include "flamingoroute/steering/steering_core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Size of a fleet and the distances within it.
struct fleet_layout {
    int regions = 3;
    int domains = 2; ///< in each region
    int instances = 2; ///< in each failure domain
    int upstreams = 2; ///< in each failure domain
    int slots = 6;
    milliseconds serviceTime { 40 };
    milliseconds regionDistance { 55 }; ///< round trip time
    int linkMegabits = 4000;
    int answerBytes = 4096;
    milliseconds deadline { 2000 };
};

/// A fake upstream that counts its running requests.
struct fake_upstream {
    upstream object;
    region_id place;
    int busy = 0;
    int maxOverload = 0; ///< maximum number of running requests above its slots
    double slowness = 1;
    bool isBroken = false; ///< attempts fail as not sent
    bool isLeaving = false; ///< refuses new requests and reports that it is leaving
    bool isLeavingByHealthOnly = false; ///< reports leaving only by its health endpoint
    bool isLeavingOnce = false; ///< refuses only the next request as leaving, then accepts requests
    bool isHealthAlwaysOk = false; ///< its health endpoint always reports it as reachable and not leaving
    std::optional<double> frozenLoad;
    std::optional<microseconds> leavingSince;
    std::optional<microseconds> lastStart; ///< start time of the latest request
};

/// Results of the requests of one customer.
struct customer_tally {
    int sent = 0;
    int answered = 0;
    int refused = 0;
    int failed = 0;
    std::map<std::string, int> reasons; ///< refusals by reason
    std::vector<double> latenciesMs;
};

/// Simulated instances with the real decision code on a virtual clock, with fake upstreams, a lossy network and a
/// platform that grants leases.
class steering_fleet {
public:
    steering_fleet(fleet_layout layout, std::uint64_t seed);

    void advanceTo(microseconds now);

    /// @param place an instance name or a prefix of instance names
    void startLoad(const std::string& customer, request_class kind, const std::string& place, double perSecond);
    void stopLoad(const std::string& customer) { m_loads.erase(customer); }

    void loseMessages(double share) { m_lossShare = share; }
    void doubleMessages(double share) { m_doubleShare = share; }
    void delayMessages(microseconds most) { m_extraDelay = most; }
    void cut(const std::string& one, const std::string& other) { m_partitions.insert({ one, other }); }
    void heal() { m_partitions.clear(); }
    void setPlatform(bool isUp) { m_isPlatformUp = isUp; }
    void kill(const std::string& instance);
    void restart(const std::string& instance);
    void pause(const std::string& instance, bool isPaused);
    void changeConfiguration(const std::function<void(configuration&)>& change);
    void setWeight(const std::string& customer, int weight);

    /// @return the upstreams whose names start with @p prefix
    std::vector<fake_upstream*> upstreamsAt(const std::string& prefix);
    const customer_tally& tallyOf(const std::string& customer) { return m_tallies[customer]; }
    void clearTallies() { m_tallies.clear(); }

    /// @return the maximum number of bytes sent from one region to another in any full second
    double maxLinkBytes(const std::string& from, const std::string& to) const;
    std::uint64_t messageBytes() const { return m_messageBytes; }
    std::uint64_t messageCount() const { return m_messageCount; }
    std::size_t instanceCount() const { return m_nodes.size(); }
    microseconds now() const { return m_now; }

private:
    struct node {
        member self;
        incarnation run = 1;
        std::unique_ptr<steering_core> core;
        bool isRunning = true;
        bool isPaused = false;
        std::vector<std::function<void()>> deferred; ///< events that arrived during a pause
    };
    struct request {
        std::string customer;
        upstream_requirements wish;
        microseconds sentAt { 0 };
        int attempts = 0;
    };
    struct load {
        request_class kind;
        std::string place;
        double perSecond;
        microseconds next { 0 };
    };
    struct lease {
        instance_id holder;
        incarnation run = 0;
        std::uint64_t epoch = 0;
        microseconds renewedAt { 0 };
        std::vector<instance_run> predecessors;
    };

    void build(const fleet_layout& layout);
    void startNode(node& which);
    void at(microseconds when, std::function<void()> what) { m_events.emplace(when, std::move(what)); }
    void tickAll();
    void renewLeases();
    void acquireLease(const failure_domain_id& domain, node& newHolder);
    void sendDue();
    void submit(node& where, request what);
    void settle(node& where);
    void attempt(node& where, const request& what, const chosen_upstream& chosen);
    void arrive(node& where, request what, const chosen_upstream& chosen, microseconds delay);
    void answer(node& where, const request& what, const chosen_upstream& chosen, attempt_result result);
    void deliver(const instance_id& from, const steering_message& message);
    void probe(node& where);
    void runOrDefer(node& which, std::function<void()> what);
    bool isPartitioned(const std::string& one, const std::string& other) const;
    microseconds oneWayDelay(const region_id& one, const failure_domain_id& oneDomain, const region_id& other,
        const failure_domain_id& otherDomain) const;
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }
    monotonic_time time() const { return monotonic_time(startOfTime + m_now); }

    static constexpr microseconds startOfTime { 1'000'000'000 };
    fleet_layout m_layout;
    std::mt19937_64 m_generator;
    microseconds m_now { 0 };
    std::multimap<microseconds, std::function<void()>> m_events;
    std::shared_ptr<configuration> m_configuration = std::make_shared<configuration>();
    std::vector<member> m_members;
    std::map<instance_id, node> m_nodes;
    std::map<upstream_id, fake_upstream> m_upstreams;
    std::map<failure_domain_id, lease> m_leases;
    std::map<std::string, load> m_loads;
    std::map<std::string, customer_tally> m_tallies;
    std::map<std::pair<instance_id, std::uint64_t>, request> m_waiting;
    std::map<std::pair<region_id, region_id>, std::map<std::int64_t, double>> m_linkBytes; ///< bytes by second
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_messageBytes = 0;
    std::uint64_t m_messageCount = 0;
    double m_lossShare = 0;
    double m_doubleShare = 0;
    microseconds m_extraDelay { 0 };
    std::set<std::pair<std::string, std::string>> m_partitions;
    bool m_isPlatformUp = true;
};

} // namespace flamingoroute::testing

#endif
