#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_NODE_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PLATFORM_PLATFORM_NODE_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "support/process/child_process.hpp"
#include "support/process/http_reply.hpp"

#include <memory>
#include <string>

namespace flamingoroute::testing {

/// A flamingo-node as a process, with a settings file as the platform writes it.
class platform_node {
public:
    /// @param store the platform's store
    /// @param failureDomain `centro-a` or `centro-b` in the region centro, or `oriente-a` in oriente
    platform_node(const std::string& name, const endpoint& store, const std::string& failureDomain = "centro-a");
    ~platform_node();

    /// Starts the program again with the same settings, after it has ended.
    void restart();

    /// @return whether the node says within @p patience that it is ready
    bool waitUntilReady(milliseconds patience = milliseconds { 10000 }) const;

    /// Sends a request as a caller would.
    /// @param id the request's id
    /// @param key the customer's key
    http_reply send(const std::string& id, const std::string& key, const std::string& method, const std::string& target,
        const std::string& body = "") const;

    /// @return what the log holds so far
    std::string log() const;

    child_process& process() { return *m_process; }
    const std::string& logFile() const { return m_logFile; }
    const endpoint& callers() const { return m_callers; }
    const endpoint& readiness() const { return m_readiness; }
    const endpoint& lookups() const { return m_lookups; }
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
