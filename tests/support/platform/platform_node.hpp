#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_NODE_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_NODE_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "support/process/child_process.hpp"
#include "support/process/http_reply.hpp"

#include <memory>
#include <string>

namespace flamingoroute::testing {

/// Limits that the platform sets for a node.
struct platform_node_limits {
    int memoryMegabytes = 260;
    int fileDescriptors = 1024;
};

/// Runs flamingo-node as a process, with a settings file in the platform's format.
class platform_node {
public:
    /// @param store the platform's store
    /// @param failureDomain `centro-a` or `centro-b` in the region centro, or `oriente-a` in oriente
    /// @param limits written to the settings file
    /// @param furtherBounds TOML that continues the table of bounds and may begin other tables
    platform_node(const std::string& name, const endpoint& store, const std::string& failureDomain = "centro-a",
        const platform_node_limits& limits = {}, const std::string& furtherBounds = "");
    ~platform_node();

    /// Starts the program again with the same settings. The previous process must have ended.
    void restart();

    /// @return whether the node reports readiness within @p timeout
    bool waitUntilReady(milliseconds timeout = milliseconds { 10000 }) const;

    /// Sends a request to the callers' address.
    /// @param id the request's id
    /// @param key the customer's key
    http_reply send(const std::string& id, const std::string& key, const std::string& method, const std::string& target,
        const std::string& body = "") const;

    /// @return the log written so far
    std::string log() const;

    child_process& process() { return *m_process; }
    const std::string& logFile() const { return m_logFile; }
    const std::string& settingsFile() const { return m_settingsFile; }
    const endpoint& callers() const { return m_callers; }
    const endpoint& readiness() const { return m_readiness; }
    const endpoint& lookups() const { return m_lookups; }
    const endpoint& peers() const { return m_peers; }
    /// @return the address for requests that other nodes forward
    endpoint forwards() const { return { m_peers.address, static_cast<std::uint16_t>(m_peers.port + 1) }; }
    const endpoint& metrics() const { return m_metrics; }

private:
    endpoint m_callers;
    endpoint m_readiness;
    endpoint m_lookups;
    endpoint m_peers;
    endpoint m_metrics;
    std::string m_settingsFile;
    std::string m_logFile;
    std::unique_ptr<child_process> m_process;
};

} // namespace flamingoroute::testing

#endif
