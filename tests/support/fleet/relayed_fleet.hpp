#ifndef FLAMINGOROUTE_TESTS_SUPPORT_FLEET_RELAYED_FLEET_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_FLEET_RELAYED_FLEET_HPP

#include "flamingoroute/fleet/fleet_members.hpp"
#include "flamingoroute/fleet/message_forwarder.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// Instances in three regions that report through relays, on a simulated clock. Messages are delivered immediately.
class relayed_fleet {
public:
    explicit relayed_fleet(std::size_t size);

    /// Registers an instance again, with twenty times the link bandwidth of the others.
    void widenLink(std::size_t which);

    void setUp(std::size_t which, bool isUp) { m_isUp[which] = isUp; }

    /// Sets what an instance reports for the customer "ronda".
    void setDemand(std::size_t which, float perSecond, std::uint32_t admitted);

    /// Sets that each instance reports the same demand for each of @p count customers.
    void setCustomers(std::size_t count);

    /// Sets that each report contains the loads of @p perReport upstreams, and each digest of the first relay up to
    /// @p perDigest.
    void setLoads(std::size_t perReport, std::size_t perDigest);

    /// Sends @p body from the first relay of each region to all instances of the region.
    void sendBatches(const std::string& body);

    /// Lets time pass in steps of stepMs: a report of each instance every 500 ms, a digest of each relay every second.
    void simulate(int ms);

    /// Sends a report of an instance now. Relays pass it on at once, unless they have just sent a digest.
    void reportUrgently(std::size_t which);

    static constexpr int stepMs = 100;

    std::vector<std::size_t> relaysIn(const std::string& region) const;

    fleet_members& node(std::size_t which) { return *m_nodes[which]; }
    monotonic_time now() const { return m_now; }
    std::uint64_t messages() const { return m_messages; }

    /// Bytes of messages that one instance has sent.
    struct instance_traffic {
        std::size_t bytes = 0;
        std::size_t bytesToOtherDomains = 0; ///< part of them
        std::size_t reportBytes = 0; ///< part of them
        std::size_t batchBytes = 0; ///< part of them
    };
    const std::vector<instance_traffic>& traffic() const { return m_traffic; }

private:
    void deliver(
        std::size_t from, const endpoint& to, std::size_t bytes, const std::function<void(fleet_members&)>& take);
    void report(std::size_t which);
    void sendDigest(std::size_t which);
    std::unique_ptr<message_forwarder> makeForwarder(std::size_t which);

    std::vector<member> m_where;
    std::vector<std::unique_ptr<fleet_members>> m_nodes;
    std::vector<std::unique_ptr<message_forwarder>> m_forwarders;
    std::vector<bool> m_isUp;
    std::vector<std::vector<customer_demand>> m_demand;
    std::size_t m_loadsPerReport = 0;
    std::size_t m_loadsPerDigest = 0;
    std::uint32_t m_loadCount = 0;
    std::map<endpoint, std::size_t> m_numbers;
    std::vector<instance_traffic> m_traffic;
    monotonic_time m_now { seconds(100) };
    std::vector<monotonic_time> m_digestAt;
    int m_elapsedMs = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_digestNumber = 0;
};

} // namespace flamingoroute::testing

#endif
