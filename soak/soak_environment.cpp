#include "soak/soak_environment.hpp"

#include "soak/soak_parameters.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <csignal>
#include <thread>

namespace flamingoroute::soak {

namespace {

const std::array<std::string, 3> failureDomains { "centro-a", "centro-b", "oriente-a" };
constexpr milliseconds defaultServiceTime { 8 };
/// Added to the grace period to allow for delays of the machine.
constexpr milliseconds graceMargin { 500 };
constexpr int versionStep = 3; ///< the operator's version numbers are not consecutive
/// Time that a newly started node has to read the store.
constexpr seconds startupTime { 2 };
constexpr int terminatedBySignal = 128 + SIGTERM;

std::string configurationText(int version)
{
    const auto keys
        = [&](const std::string& customer) { return "[\"" + soak_environment::keyOf(customer, version) + "\"]"; };
    return R"({"version":"r)" + std::to_string(version * versionStep)
        + R"(","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","attempts",)"
          R"("service"],"rows":[["read","counter.example","/read/","idempotent","1000ms","400ms",2,2,"counter"],)"
          R"(["order","counter.example","/order/","non_idempotent","1000ms","400ms",1,2,"counter"]]},)"
          R"("services":{"columns":["name","health_check_path","connection_limit","cold_start","cold_per_s"],)"
          R"("rows":[["counter","/health",300,"1s",20]]},)"
          R"("limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},)"
          R"("tenants":{"columns":["name","api_keys","requests_per_s","burst"],"rows":[[")"
        + parameters::unlimitedCustomer + "\"," + keys(parameters::unlimitedCustomer) + R"(,null,null],[")"
        + parameters::limitedCustomer + "\"," + keys(parameters::limitedCustomer) + ","
        + std::to_string(static_cast<int>(parameters::limitedRate)) + ","
        + std::to_string(static_cast<int>(parameters::limitedBurst)) + "]]}}";
}

/// @return whether a process accepts connections there; one that does not has read no request
bool isListening(const endpoint& where)
{
    const Poco::Timespan timeout(0, 200'000);
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(where.address, where.port), timeout);
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::string answerText(
    const std::string& status, const std::string& id, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nX-Flamingoroute-Request-Id: " + id + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

struct soak_environment::node_entry {
    std::string name;
    std::unique_ptr<testing::platform_node> node;
    bool isPaused = false;
    bool isStopping = false;
    monotonic_time stoppingSince;
    bool wasKilled = false;
    /// SIGTERM was sent before the process listened, so it may have arrived before the process handles signals.
    bool isStoppedBeforeListening = false;
};

struct soak_environment::upstream_entry {
    std::string name;
    std::string failureDomain;
    endpoint address; ///< of its link through the fault proxy
    bool isDraining = false;
    std::atomic<std::int64_t> serviceTimeMs { defaultServiceTime.count() };
    std::unique_ptr<testing::raw_upstream> socket;
};

soak_environment::soak_environment(std::size_t nodes, std::size_t upstreams, soak_checker& checker)
    : m_checker(checker)
{
    publishConfiguration();
    for (std::size_t i = 0; i < upstreams; ++i)
        addUpstream();
    for (std::size_t i = 0; i < nodes; ++i) {
        auto entry = std::make_unique<node_entry>();
        entry->name = "node-" + std::to_string(i + 1);
        const auto store = m_proxy.addLink(entry->name + ">store", m_store.address());
        entry->node
            = std::make_unique<testing::platform_node>(entry->name, store, failureDomains[i % failureDomains.size()]);
        m_nodes.emplace(entry->name, std::move(entry));
    }
}

soak_environment::~soak_environment() = default;

bool soak_environment::waitUntilReady() const
{
    for (const auto& [name, entry] : m_nodes) {
        if (!entry->node->waitUntilReady())
            return false;
    }
    return true;
}

std::vector<std::string> soak_environment::nodeNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : m_nodes)
        names.push_back(name);
    return names;
}

std::vector<std::string> soak_environment::upstreamNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : m_upstreams)
        names.push_back(name);
    return names;
}

endpoint soak_environment::callerAddress(const std::string& node) const { return m_nodes.at(node)->node->callers(); }

std::string soak_environment::keyOf(const std::string& customer, int version)
{
    return customer + "-k" + std::to_string(version);
}

std::string soak_environment::registrationText(const upstream_entry& upstream)
{
    return R"({"service":"counter","address":")" + toString(upstream.address) + R"(","zone":")" + upstream.failureDomain
        + R"(","version":"v1","slots":6,"state":")" + (upstream.isDraining ? "draining" : "ready")
        + R"(","cold_remaining":"0ms","sequence":1,"born":7})";
}

void soak_environment::addUpstream()
{
    auto entry = std::make_unique<upstream_entry>();
    auto& self = *entry;
    self.name = "u-" + std::to_string(++m_upstreamNumber);
    self.failureDomain = failureDomains[static_cast<std::size_t>(m_upstreamNumber) % failureDomains.size()];
    self.socket = std::make_unique<testing::raw_upstream>(
        [this, &self](testing::raw_upstream& socket, Poco::Net::StreamSocket& connection, int) {
            serve(self, socket, connection);
        });
    self.address = m_proxy.addLink("nodes>" + self.name, self.socket->target().address);
    m_store.put("servers", self.name, registrationText(self));
    m_upstreams.emplace(self.name, std::move(entry));
}

void soak_environment::serve(upstream_entry& self, testing::raw_upstream& socket, Poco::Net::StreamSocket& connection)
{
    for (auto request = socket.readRequest(connection); !request.empty(); request = socket.readRequest(connection)) {
        const auto id = testing::headerIn(request, "X-Flamingoroute-Request-Id");
        if (testing::headerIn(request, "X-Flamingoroute-Expected-Instance") != self.name) {
            testing::raw_upstream::send(connection, answerText("421 Misdirected Request", id, "", "other"));
            continue;
        }
        const bool hasKey = !testing::headerIn(request, "Authorization").empty();
        if (!m_checker.recordArrived(
                { id, self.name, testing::headerIn(request, "X-Flamingoroute-Tenant-Name"), hasKey }))
            return;
        std::this_thread::sleep_for(milliseconds(self.serviceTimeMs));
        testing::raw_upstream::send(connection,
            answerText("200 OK", id, "X-Flamingoroute-Response-Signature: " + id + "\r\n", expectedBody(id)));
    }
}

void soak_environment::stopNode(const std::string& node)
{
    auto& entry = *m_nodes.at(node);
    if (entry.isStopping || entry.isPaused || !entry.node->process().isRunning())
        return;
    entry.isStopping = true;
    entry.stoppingSince = monotonicNow();
    entry.isStoppedBeforeListening = !isListening(entry.node->callers());
    m_checker.recordStopping(node, true);
    entry.node->process().signal(SIGTERM);
}

void soak_environment::killNode(const std::string& node)
{
    auto& entry = *m_nodes.at(node);
    m_checker.recordDisruption(node, monotonicNow() + startupTime);
    entry.wasKilled = true;
    entry.node->process().signal(SIGKILL);
}

void soak_environment::pauseNode(const std::string& node)
{
    auto& entry = *m_nodes.at(node);
    m_checker.recordDisruption(node, monotonic_time::max() - soak_checker::recoveryBound);
    entry.isPaused = true;
    entry.node->process().signal(SIGSTOP);
}

void soak_environment::resumeNode(const std::string& node)
{
    auto& entry = *m_nodes.at(node);
    entry.node->process().signal(SIGCONT);
    entry.isPaused = false;
    entry.stoppingSince = monotonicNow();
    m_checker.endDisruption(node);
}

void soak_environment::restartExitedNodes()
{
    for (auto& [name, entry] : m_nodes) {
        const bool isOverdue = entry->isStopping && !entry->wasKilled && !entry->isPaused
            && monotonicNow() - entry->stoppingSince > parameters::gracePeriod + graceMargin;
        if (isOverdue && entry->node->process().isRunning()) {
            m_checker.recordProblem(name + " is still running after its grace period");
            killNode(name);
        }
        const auto code = entry->node->process().waitForExit(milliseconds(0));
        if (!code)
            continue;
        const bool isEndedBySignal = *code == terminatedBySignal && entry->isStoppedBeforeListening;
        if (*code != 0 && !entry->wasKilled && !isEndedBySignal)
            m_checker.recordProblem(name + " exited with unexpected exit code " + std::to_string(*code));
        m_checker.recordDisruption(name, monotonicNow() + startupTime);
        m_checker.recordNewProcess(name);
        entry->isStopping = false;
        entry->wasKilled = false;
        entry->isStoppedBeforeListening = false;
        entry->isPaused = false;
        entry->node->restart();
    }
}

void soak_environment::setStoreDown(bool isDown)
{
    m_checker.recordDisruption("", monotonicNow());
    m_store.setDown(isDown);
}

void soak_environment::setStoreLosingAnswers(bool isLosing)
{
    m_checker.recordDisruption("", monotonicNow());
    m_store.setLosingAnswers(isLosing);
}

void soak_environment::dropStoreHistory()
{
    m_checker.recordDisruption("", monotonicNow());
    m_store.dropHistory();
}

void soak_environment::restoreStore()
{
    m_checker.recordDisruption("", monotonicNow());
    std::vector<testing::platform_store_stand_in::specified_object> rewritten;
    rewritten.push_back({ "config", "main", configurationText(m_version) });
    for (const auto& [name, entry] : m_upstreams)
        rewritten.push_back({ "servers", name, registrationText(*entry) });
    for (const auto& domain : m_evacuated)
        rewritten.push_back({ "evacuations", domain, "{}" });
    m_store.restore(rewritten);
    removeOthers("servers", [this](const std::string& name) { return m_upstreams.contains(name); });
    removeOthers("evacuations", [this](const std::string& name) { return m_evacuated.contains(name); });
}

void soak_environment::removeOthers(
    const std::string& kind, const std::function<bool(const std::string& name)>& isCurrent)
{
    for (const auto& name : m_store.names(kind)) {
        if (!isCurrent(name))
            m_store.remove(kind, name);
    }
}

void soak_environment::setStoreLink(const std::string& node, const testing::link_fault& fault)
{
    m_checker.recordDisruption(node, monotonicNow());
    m_proxy.setFault(node + ">store", fault);
}

void soak_environment::setUpstreamLink(const std::string& upstream, const testing::link_fault& fault)
{
    m_checker.recordDisruption("", monotonicNow());
    m_proxy.setFault("nodes>" + upstream, fault);
}

void soak_environment::publishConfiguration()
{
    const int version = m_version + 1;
    m_store.put("config", "main", configurationText(version));
    m_version = version;
    for (const auto* customer : { parameters::unlimitedCustomer, parameters::limitedCustomer })
        m_checker.recordKeyWithdrawn(soak_environment::keyOf(customer, version - 1));
}

void soak_environment::setEvacuated(const std::string& failureDomain, bool isEvacuated)
{
    if (isEvacuated && m_evacuated.insert(failureDomain).second)
        m_store.put("evacuations", failureDomain, "{}");
    else if (!isEvacuated && m_evacuated.erase(failureDomain) > 0)
        m_store.remove("evacuations", failureDomain);
}

void soak_environment::drainUpstream(const std::string& upstream)
{
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end())
        return;
    known->second->isDraining = true;
    m_store.put("servers", upstream, registrationText(*known->second));
    m_checker.recordLeaving(upstream);
}

void soak_environment::crashUpstream(const std::string& upstream)
{
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end())
        return;
    m_checker.recordDisruption("", monotonicNow());
    known->second->socket.reset();
}

void soak_environment::slowUpstream(const std::string& upstream, milliseconds work)
{
    const auto known = m_upstreams.find(upstream);
    if (known != m_upstreams.end())
        known->second->serviceTimeMs = work.count();
}

void soak_environment::restoreUpstream(const std::string& upstream) { slowUpstream(upstream, defaultServiceTime); }

void soak_environment::replaceUpstream(const std::string& upstream)
{
    const auto known = m_upstreams.find(upstream);
    if (known == m_upstreams.end())
        return;
    m_store.remove("servers", upstream);
    m_checker.recordLeaving(upstream);
    m_removed.push_back(std::move(known->second));
    m_upstreams.erase(known);
    addUpstream();
}

void soak_environment::heal()
{
    m_store.setDown(false);
    m_store.setLosingAnswers(false);
    m_proxy.heal();
    for (const auto& [name, entry] : m_nodes)
        resumeNode(name);
    for (const auto& domain : failureDomains)
        setEvacuated(domain, false);
    for (const auto& [name, entry] : m_upstreams)
        entry->serviceTimeMs = defaultServiceTime.count();
    m_checker.recordDisruption("", monotonicNow());
}

} // namespace flamingoroute::soak
