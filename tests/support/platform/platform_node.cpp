#include "support/platform/platform_node.hpp"

#include "support/process/free_port.hpp"
#include "support/process/http_caller.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds pollStep { 20 };

std::string settingsText(const std::string& name, const endpoint& callers, const endpoint& readiness,
    const endpoint& lookups, const endpoint& peers, const endpoint& store, const std::string& domain,
    const platform_node_limits& limits)
{
    std::ostringstream text;
    text << "[self]\nnode_name = \"" << name << "\"\nip = \"" << peers.address << "\"\nzone = \"" << domain
         << "\"\nregion = \"" << domain.substr(0, domain.find('-')) << "\"\nfirst_start = true\n"
         << "[self.limits]\nfile_descriptors = " << limits.fileDescriptors << "\nmemory_mb = " << limits.memoryMegabytes
         << "\n"
         << "[network]\ninternal_port_range = [" << peers.port << "," << peers.port + 1 << "]\n"
         << "[network.listen_addresses]\nfrontend = \"" << toString(callers) << "\"\nready = \"" << toString(readiness)
         << "\"\ndirectory = \"" << toString(lookups) << "\"\n"
         << "[network.zones]\ncentro-a = \"centro\"\ncentro-b = \"centro\"\noriente-a = \"oriente\"\n"
         << "[platform.platform]\naddress = \"" << toString(store) << "\"\n"
         << "[terms.bounds]\ngrace_period = \"4s\"\nretry_budget_ratio = 0.2\nretry_budget_slack = 50\n"
         << "quota_window = \"5s\"\nquota_overshoot = 0.1\nquota_slack = 20\nexposure_share = 0.1\nexposure_slack = "
            "50\n";
    return text.str();
}

} // namespace

platform_node::platform_node(const std::string& name, const endpoint& store, const std::string& failureDomain,
    const platform_node_limits& limits, const std::string& furtherBounds)
    : m_callers(freeLoopbackEndpoint())
    , m_readiness(freeLoopbackEndpoint())
    , m_lookups(freeLoopbackEndpoint())
    , m_peers(freeLoopbackRange())
    , m_metrics(freeLoopbackEndpoint())
{
    const std::string stem = ::testing::TempDir() + name + "-" + std::to_string(m_callers.port);
    m_settingsFile = stem + ".toml";
    m_logFile = stem + ".log";
    std::ofstream(m_settingsFile) << settingsText(name, m_callers, m_readiness, m_lookups, m_peers, store,
        failureDomain, limits) << furtherBounds;
    restart();
}

void platform_node::restart()
{
    m_process = std::make_unique<child_process>(std::string(FLAMINGOROUTE_BINARY_DIR) + "/flamingo-node",
        std::vector<std::string> { "--settings=" + m_settingsFile, "--metrics_port=" + std::to_string(m_metrics.port) },
        m_logFile);
}

platform_node::~platform_node()
{
    m_process.reset();
    std::remove(m_settingsFile.c_str());
    std::remove(m_logFile.c_str());
}

bool platform_node::waitUntilReady(milliseconds timeout) const
{
    const auto deadline = monotonicNow() + timeout;
    while (monotonicNow() < deadline) {
        if (callOnce(m_readiness, "GET", "/readiness").status == 200)
            return true;
        std::this_thread::sleep_for(pollStep);
    }
    return false;
}

http_reply platform_node::send(const std::string& id, const std::string& key, const std::string& method,
    const std::string& target, const std::string& body) const
{
    return callOnce(m_callers, method, target,
        { { "Host", "counter.example" }, { "X-Flamingoroute-Request-Id", id },
            { "X-Flamingoroute-Deadline-Remaining", "3000" }, { "Authorization", "Bearer " + key } },
        body);
}

std::string platform_node::log() const
{
    std::ostringstream text;
    text << std::ifstream(m_logFile).rdbuf();
    return text.str();
}

} // namespace flamingoroute::testing
