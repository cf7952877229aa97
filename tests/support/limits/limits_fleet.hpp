#ifndef FLAMINGOROUTE_TESTS_SUPPORT_LIMITS_LIMITS_FLEET_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_LIMITS_LIMITS_FLEET_HPP

#include "admission_meter.hpp"
#include "flamingoroute/limits/allocator.hpp"
#include "flamingoroute/limits/share_machine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Faults that the simulated network and store inject into messages and store calls.
struct fleet_faults {
    double loss = 0; ///< fraction of messages lost
    double duplicated = 0; ///< fraction of messages delivered twice
    microseconds jitter { 0 }; ///< random extra delay, which also reorders
    microseconds domainDelay { 500 }; ///< one way, inside a region
    microseconds regionDelay { 28000 }; ///< one way, between regions
    bool isStoreDown = false;
    double lostAnswers = 0; ///< fraction of store calls that take effect but whose answer is lost
    microseconds lateWrites { 0 }; ///< maximum delay until a write with a lost answer takes effect
};

/// Request, message and store counts of one customer.
struct fleet_count {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t ideal = 0; ///< admitted by a single bucket shared by all instances without delay
    std::uint64_t staticSplit = 0; ///< admitted by an equal split of the limit, without waiting
    std::uint64_t staticSplitWaiting = 0; ///< admitted by an equal split of the limit, with the same maximum wait
    std::uint64_t messages = 0; ///< between instances
    std::uint64_t messageBytes = 0;
    std::uint64_t storeCalls = 0;
};

/// Simulated instances in one process on a virtual clock: real share machines and allocators with a fake network,
/// platform and callers. Deterministic for a given seed.
class limits_fleet {
public:
    limits_fleet(std::uint64_t seed, std::vector<member> members, const limit_settings& settings);
    ~limits_fleet();

    fleet_faults faults;

    void advanceTo(monotonic_time until);
    monotonic_time now() const { return m_now; }

    void setLimit(const customer_id& customer, double perSecond, int burst);
    void setDemand(const customer_id& customer, const instance_id& at, double perSecond);
    void sendRequest(const customer_id& customer, const instance_id& at);

    void partition(const std::string& domain, const std::string& other); ///< @p other: a domain, "platform" or "peers"
    void rejoin(const std::string& domain);
    void killEntry(const instance_id& instance);
    void killControl(const instance_id& instance);
    void startEntry(const instance_id& instance);
    void startControl(const instance_id& instance);
    void pause(const instance_id& instance);
    void resume(const instance_id& instance);

    /// @return the pool holder according to the platform's table; empty if none
    instance_id holderOf(const customer_id& customer) const;

    const admission_meter& meter(const customer_id& customer) { return m_customers.at(customer).meter; }
    fleet_count& count(const customer_id& customer) { return m_customers.at(customer).count; }
    bool contains(const customer_id& customer) const { return m_customers.contains(customer); }
    bool contains(const instance_id& instance) const { return m_nodes.contains(instance); }
    const std::vector<member>& members() const { return m_members; }

    /// @return the sum of the shares that all entries may currently use
    share shareInUse(const customer_id& customer);

    /// @return the sum of reserved shares in the platform's table
    share reserved(const customer_id& customer) const;

private:
    struct node {
        member self;
        bool isEntryUp = false;
        bool isControlUp = false;
        bool isPaused = false;
        std::uint64_t entryIncarnation = 0;
        std::uint64_t controlIncarnation = 0;
        std::map<customer_id, std::unique_ptr<share_machine>> machines;
        std::unique_ptr<allocator> control;
        std::vector<std::function<void()>> deferred; ///< events that arrived during a pause
        monotonic_time nextHello;
    };
    struct queued_bucket {
        token_bucket bucket;
        std::queue<monotonic_time> waiting;
    };
    struct customer_state {
        rate_limit limit;
        admission_meter meter;
        fleet_count count;
        token_bucket ideal;
        std::map<instance_id, double> demand;
        std::map<instance_id, std::uint64_t> demandNumber;
        std::map<instance_id, token_bucket> staticSplit;
        std::map<instance_id, queued_bucket> staticSplitWaiting;
    };
    struct event {
        monotonic_time at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const event& other) const { return std::pair(other.at, other.number) < std::pair(at, number); }
    };
    struct stored {
        allocation_table table;
        object_version version = 0;
    };

    void schedule(monotonic_time at, std::function<void()> run);
    void tick(node& here);
    void flush(node& here);
    void flushMachine(node& here, const customer_id& customer, share_machine& machine);
    void transmit(const node& from, std::uint64_t fromIncarnation, limit_message message);
    void deliver(const instance_id& from, const limit_message& message);
    void deliverToEntry(node& here, const instance_id& from, const limit_message& message);
    void deliverToControl(node& here, const instance_id& from, const limit_message& message);
    void callStore(node& from, store_call call);
    store_result executeCall(const store_call& call);
    void scheduleArrival(const customer_id& customer, const instance_id& at, std::uint64_t number);
    /// Updates the meter's limit; a lowered limit applies only once the reserved shares have been reduced to it.
    void updateMeterLimit(const customer_id& customer);
    void sendToBaselines(customer_state& state, const instance_id& at);
    void serveStaticSplit(customer_state& state);
    share_machine& machineAt(node& here, const customer_id& customer);
    microseconds delayBetween(const member& from, const member& to);
    bool isPartitioned(const std::string& left, const std::string& right) const;
    double chance() { return m_uniform(m_random); }

    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform { 0, 1 };
    limit_settings m_settings;
    std::vector<member> m_members;
    std::map<instance_id, node> m_nodes;
    std::map<customer_id, customer_state> m_customers;
    std::map<customer_id, stored> m_store;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_requestNumber = 0;
    std::uint64_t m_incarnation = 0;
    revision m_revision = 0;
    monotonic_time m_now { microseconds { 1000000 } };
};

/// @return nine instances in six failure domains (a1 to c2) of three regions
std::vector<member> nineInstanceFleet();

} // namespace flamingoroute::testing

#endif
