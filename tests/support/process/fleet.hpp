#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FLEET_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FLEET_HPP

#include "child_process.hpp"
#include "fault_proxy.hpp"
#include "fleet_options.hpp"
#include "http_caller.hpp"
#include "upstream_counts.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingoroute::testing {

/// A complete system of real processes on loopback: the platform, upstreams and two processes per instance.
/// All traffic between failure domains, to the platform and to upstreams passes through a fault proxy with these links:
///
///     DOMAIN>platform     from the instances of a failure domain to the platform
///     DOMAIN>INSTANCE     from the instances of a failure domain to the processes of an instance
///     entries>UPSTREAM    from all instances to an upstream
///
/// Instances are named "i1", "i2", ... in the order of the domains, and likewise upstreams "u1", "u2", ...; those of
/// extraUpstreamVersion are "x1", "x2", .... Settings and logs are in a folder that is kept if a test fails.
class fleet {
public:
    explicit fleet(fleet_options options = {});
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Publishes the objects and waits until all started instances are ready.
    /// @return the reason of a failure, or empty on success
    std::string publishAndWait();

    /// @return whether the instance reports readiness within @p timeout
    bool waitReady(const std::string& instance, milliseconds timeout = milliseconds { 8000 });

    void startInstance(const std::string& instance);
    void startEntry(const std::string& instance);
    void startControl(const std::string& instance);
    child_process& entry(const std::string& instance) { return m_entries.at(instance); }
    child_process& control(const std::string& instance) { return m_controls.at(instance); }
    child_process& upstream(const std::string& name) { return m_upstreams.at(name); }
    void startUpstream(const std::string& name);

    /// @return the address that callers connect to
    endpoint callerAddress(const std::string& instance) const;
    endpoint upstreamAddress(const std::string& name) const;
    std::vector<std::string> instances() const;
    std::vector<std::string> upstreams() const;
    static std::string keyOf(const std::string& customer) { return "key-of-" + customer + "-0123456789abcdef"; }

    /// Sends a customer's request to an instance on a new connection.
    http_reply send(const std::string& instance, const std::string& method, const std::string& target,
        const std::string& customer = "ronda", const std::vector<http_header>& headers = {},
        const std::string& body = "", milliseconds timeout = milliseconds { 8000 }) const;

    /// Calls the admin API of an instance.
    /// @param path for example "commands/key-withdraw" or "queries/status"
    http_reply admin(const std::string& instance, const std::string& method, const std::string& path,
        const std::string& body = "") const;

    /// Puts objects (JSON objects, comma-separated) in one change and returns the answer.
    http_reply putObjects(const std::string& instance, const std::string& objects) const;

    upstream_counts countsOf(const std::string& upstream) const;
    std::map<std::string, int> runsById() const; ///< summed over all upstreams
    int totalRuns() const;
    void setUpstreamFaults(const std::string& upstream, const std::string& json) const;
    void setPlatformFaults(const std::string& json) const;

    /// Disconnects a failure domain from the instances of all other domains, in both directions.
    void partitionFromPeers(const std::string& domain);

    /// Disconnects a failure domain from the platform.
    void partitionFromPlatform(const std::string& domain);

    fault_proxy& proxy() { return m_proxy; }
    const std::string& folder() const { return m_folder; }

private:
    struct instance_plan;
    struct upstream_plan;

    void planInstances();
    void planUpstreams();
    void planUpstream(const std::string& name, const domain_options& domain, const std::string& version);
    void writeFile(const std::string& name, const std::string& text) const;
    void writeInstanceSettings(const instance_plan& plan);
    std::string memberFields(const instance_plan& plan, const std::string& fromDomain);
    std::string objectsJson() const;

    fleet_options m_options;
    std::string m_folder;
    endpoint m_platformAddress;
    fault_proxy m_proxy;
    std::map<std::string, instance_plan> m_instancePlans;
    std::map<std::string, upstream_plan> m_upstreamPlans;
    std::unique_ptr<child_process> m_platform;
    std::map<std::string, child_process> m_upstreams;
    std::map<std::string, child_process> m_entries;
    std::map<std::string, child_process> m_controls;
};

} // namespace flamingoroute::testing

#endif
