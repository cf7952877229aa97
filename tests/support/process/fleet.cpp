#include "fleet.hpp"

#include "free_port.hpp"

#include "flamingoroute/keys/key_hasher.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds pollInterval { 50 };
const std::string pepper = "pepper-of-the-test-fleet-0123456789";
const std::string operatorToken = "operator-token-0123456789";
const std::string programFolder = FLAMINGOROUTE_BINARY_DIR;

std::string newFolder()
{
    static int count = 0;
    const auto folder = std::filesystem::temp_directory_path()
        / ("flamingoroute-fleet-" + std::to_string(getpid()) + "-" + std::to_string(++count));
    std::filesystem::create_directories(folder);
    return folder.string();
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string field(const std::string& name, const std::string& text) { return quoted(name) + ": " + quoted(text); }

int intField(const Poco::JSON::Object::Ptr& object, const std::string& name) { return object->optValue<int>(name, 0); }

} // namespace

struct fleet::instance_plan {
    std::string name;
    std::string domain;
    std::string region;
    endpoint caller;
    endpoint entry;
    endpoint control;
    endpoint metrics;
    endpoint admin;
};

struct fleet::upstream_plan {
    std::string name;
    std::string domain;
    std::string version;
    endpoint address;
    endpoint link;
};

fleet::fleet(fleet_options options)
    : m_options(std::move(options))
    , m_folder(newFolder())
    , m_platformAddress(freeLoopbackEndpoint())
{
    writeFile("pepper", pepper);
    writeFile("tokens", "tester " + operatorToken + "\n");
    writeFile("platform.json", "{" + field("listen", toString(m_platformAddress)) + "}");
    m_platform = std::make_unique<child_process>(programFolder + "/platform_stand_in",
        std::vector<std::string> { "--settings", m_folder + "/platform.json" }, m_folder + "/platform.log");
    planUpstreams();
    planInstances();
    for (const auto& [name, plan] : m_upstreamPlans)
        startUpstream(name);
    if (!m_options.isStartingAll)
        return;
    for (const auto& [name, plan] : m_instancePlans)
        startInstance(name);
}

fleet::~fleet()
{
    if (!::testing::Test::HasFailure())
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << "settings and logs of the failed test: " << m_folder << "\n";
}

void fleet::writeFile(const std::string& name, const std::string& text) const
{
    std::ofstream(m_folder + "/" + name) << text;
}

void fleet::planUpstream(const std::string& name, const domain_options& domain, const std::string& version)
{
    upstream_plan plan { name, domain.name, version, freeLoopbackEndpoint(), {} };
    plan.link = m_proxy.addLink("entries>" + name, plan.address);
    writeFile(name + ".json",
        "{" + field("name", name) + ", " + field("version", version) + ", " + field("address", toString(plan.address))
            + ", \"slots\": " + std::to_string(m_options.slots)
            + ", \"service_ms\": " + std::to_string(m_options.serviceMs) + "}");
    m_upstreamPlans.emplace(name, plan);
}

void fleet::planUpstreams()
{
    int count = 0;
    for (const auto& domain : m_options.domains) {
        for (int i = 0; i < domain.upstreams; ++i) {
            ++count;
            planUpstream("u" + std::to_string(count), domain, "shop-v1");
            if (!m_options.extraUpstreamVersion.empty())
                planUpstream("x" + std::to_string(count), domain, m_options.extraUpstreamVersion);
        }
    }
}

void fleet::planInstances()
{
    int count = 0;
    for (const auto& domain : m_options.domains) {
        for (int i = 0; i < domain.instances; ++i) {
            instance_plan plan { "i" + std::to_string(++count), domain.name, domain.region, freeLoopbackEndpoint(),
                freeLoopbackEndpoint(), freeLoopbackEndpoint(), freeLoopbackEndpoint(), freeLoopbackEndpoint() };
            m_instancePlans.emplace(plan.name, plan);
        }
    }
    for (const auto& [name, plan] : m_instancePlans)
        writeInstanceSettings(plan);
}

std::string fleet::memberFields(const instance_plan& plan, const std::string& fromDomain)
{
    const bool isDirect = plan.domain == fromDomain;
    const std::string link = fromDomain + ">" + plan.name;
    const auto entry = isDirect ? plan.entry : m_proxy.addLink(link, plan.entry);
    const auto control = isDirect ? plan.control : m_proxy.addLink(link, plan.control);
    return field("instance", plan.name) + ", " + field("failure_domain", plan.domain) + ", "
        + field("region", plan.region) + ", " + field("caller_address", toString(plan.caller)) + ", "
        + field("entry_address", toString(entry)) + ", " + field("control_address", toString(control));
}

void fleet::writeInstanceSettings(const instance_plan& plan)
{
    const auto platform = m_proxy.addLink(plan.domain + ">platform", m_platformAddress);
    std::string peers;
    for (const auto& [name, other] : m_instancePlans) {
        if (name != plan.name)
            peers += (peers.empty() ? "{" : ", {") + memberFields(other, plan.domain) + "}";
    }
    writeFile(plan.name + ".json",
        "{" + memberFields(plan, plan.domain) + ", " + field("metrics_address", toString(plan.metrics)) + ", "
            + field("platform_address", toString(platform)) + ", " + field("key_pepper_file", m_folder + "/pepper")
            + ", \"entry\": {\"lookup_ttl_ms\": " + std::to_string(m_options.lookupTtlMs) + "}, \"control\": {"
            + field("admin_address", toString(plan.admin)) + ", " + field("operator_token_file", m_folder + "/tokens")
            + "}, \"peers\": [" + peers + "]}");
}

std::string fleet::objectsJson() const
{
    std::string text;
    const auto add = [&text](const std::string& kind, const std::string& name, const std::string& rest) {
        text += (text.empty() ? "{" : ",\n{") + field("kind", kind) + ", " + field("name", name);
        text += (rest.empty() ? "" : ", ") + rest + "}";
    };
    std::map<std::string, bool> regions;
    for (const auto& domain : m_options.domains)
        regions[domain.region] = true;
    for (const auto& [name, unused] : regions) {
        std::string links;
        for (const auto& [other, alsoUnused] : regions) {
            if (other != name)
                links += (links.empty() ? "{" : ", {") + field("to", other) + ", \"distance_ms\": 20}";
        }
        add("region", name, "\"links\": [" + links + "]");
    }
    for (const auto& domain : m_options.domains)
        add("failure_domain", domain.name, field("region", domain.region));
    add("service", "shop",
        field("current_version", "shop-v1") + ", " + field("unclaimable", m_options.unclaimable) + R"(, "routes": [
        {"name": "items", "path_prefix": "/shop/items", "methods": ["GET", "HEAD"], "repeatable": true},
        {"name": "orders", "path_prefix": "/shop/orders", "methods": ["POST"]},
        {"name": "deposits", "path_prefix": "/shop/deposits", "methods": ["POST"], "requires_idempotency_key": true},
        {"name": "open", "path_prefix": "/shop/open", "methods": ["GET"], "repeatable": true, "open": true}])");
    add("version", "shop-v1", field("service", "shop"));
    if (!m_options.extraUpstreamVersion.empty())
        add("version", m_options.extraUpstreamVersion, field("service", "shop"));
    for (const auto& [name, plan] : m_upstreamPlans) {
        add("upstream", name,
            field("service", "shop") + ", " + field("version", plan.version) + ", "
                + field("failure_domain", plan.domain) + ", " + field("address", toString(plan.link))
                + ", \"slots\": " + std::to_string(m_options.slots));
    }
    const key_hasher hasher(pepper);
    for (const auto& customer : m_options.customers) {
        add("customer", customer.name, "");
        add("key", customer.name + "-key",
            field("customer", customer.name) + ", " + field("hash", hasher.hash(keyOf(customer.name))));
        add("rate", customer.name + "-rate",
            field("customer", customer.name) + ", \"per_second\": " + std::to_string(customer.perSecond)
                + ", \"burst\": " + std::to_string(customer.burst));
    }
    return text;
}

void fleet::startUpstream(const std::string& name)
{
    m_upstreams.erase(name);
    m_upstreams.emplace(name,
        child_process(programFolder + "/upstream_stand_in", { "--settings", m_folder + "/" + name + ".json" },
            m_folder + "/" + name + ".log"));
}

void fleet::startEntry(const std::string& instance)
{
    m_entries.erase(instance);
    m_entries.emplace(instance,
        child_process(programFolder + "/flamingo-entry", { "--settings", m_folder + "/" + instance + ".json" },
            m_folder + "/" + instance + "-entry.log"));
}

void fleet::startControl(const std::string& instance)
{
    m_controls.erase(instance);
    m_controls.emplace(instance,
        child_process(programFolder + "/flamingo-control", { "--settings", m_folder + "/" + instance + ".json" },
            m_folder + "/" + instance + "-control.log"));
}

void fleet::startInstance(const std::string& instance)
{
    startControl(instance);
    startEntry(instance);
}

std::string fleet::publishAndWait()
{
    const auto deadline = monotonicNow() + seconds { 10 };
    http_reply reply;
    while (reply.status != 200) {
        reply = admin(
            m_instancePlans.begin()->first, "POST", "commands/publish", "{\"objects\": [" + objectsJson() + "]}");
        if (reply.status == 422 || (reply.status != 200 && monotonicNow() > deadline))
            return "publish: " + std::to_string(reply.status) + " " + reply.body + reply.failure;
        if (reply.status != 200)
            std::this_thread::sleep_for(pollInterval);
    }
    for (const auto& [name, process] : m_entries) {
        if (!waitReady(name))
            return name + " is not ready";
    }
    return "";
}

bool fleet::waitReady(const std::string& instance, milliseconds timeout)
{
    const auto deadline = monotonicNow() + timeout;
    while (callOnce(callerAddress(instance), "GET", "/flamingo/v1/ready").status != 200) {
        if (monotonicNow() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

endpoint fleet::callerAddress(const std::string& instance) const { return m_instancePlans.at(instance).caller; }

endpoint fleet::upstreamAddress(const std::string& name) const { return m_upstreamPlans.at(name).address; }

std::vector<std::string> fleet::instances() const
{
    std::vector<std::string> names;
    for (const auto& [name, plan] : m_instancePlans)
        names.push_back(name);
    return names;
}

std::vector<std::string> fleet::upstreams() const
{
    std::vector<std::string> names;
    for (const auto& [name, plan] : m_upstreamPlans)
        names.push_back(name);
    return names;
}

http_reply fleet::send(const std::string& instance, const std::string& method, const std::string& target,
    const std::string& customer, const std::vector<http_header>& headers, const std::string& body,
    milliseconds timeout) const
{
    std::vector<http_header> all = headers;
    if (!customer.empty())
        all.push_back({ "X-Api-Key", keyOf(customer) });
    return callOnce(callerAddress(instance), method, target, all, body, timeout);
}

http_reply fleet::admin(
    const std::string& instance, const std::string& method, const std::string& path, const std::string& body) const
{
    const std::vector<http_header> headers { { "Authorization", "Bearer " + operatorToken } };
    return callOnce(m_instancePlans.at(instance).admin, method, "/admin/v1/" + path, headers, body);
}

http_reply fleet::putObjects(const std::string& instance, const std::string& objects) const
{
    return admin(instance, "POST", "commands/change", "{\"put\": [" + objects + "]}");
}

upstream_counts fleet::countsOf(const std::string& upstream) const
{
    upstream_counts counts;
    const auto reply = callOnce(upstreamAddress(upstream), "GET", "/stand-in/stats");
    const auto object = parseJsonObject(reply.body, upstream);
    if (reply.status != 200 || !object)
        return counts;
    counts.isReached = true;
    counts.runs = intField(*object, "runs");
    counts.shed = intField(*object, "shed");
    counts.cancelled = intField(*object, "cancelled");
    counts.maxRunning = intField(*object, "max_running");
    counts.secretsSeen = intField(*object, "secrets_seen");
    const auto byId = (*object)->getObject("runs_by_id");
    for (const auto& id : byId->getNames())
        counts.runsById[id] = byId->getValue<int>(id);
    return counts;
}

std::map<std::string, int> fleet::runsById() const
{
    std::map<std::string, int> all;
    for (const auto& [name, plan] : m_upstreamPlans) {
        for (const auto& [id, count] : countsOf(name).runsById)
            all[id] += count;
    }
    return all;
}

int fleet::totalRuns() const
{
    int total = 0;
    for (const auto& [name, plan] : m_upstreamPlans)
        total += countsOf(name).runs;
    return total;
}

void fleet::setUpstreamFaults(const std::string& upstream, const std::string& json) const
{
    const auto reply = callOnce(upstreamAddress(upstream), "POST", "/stand-in/faults", {}, json);
    EXPECT_EQ(reply.status, 200) << reply.body << reply.failure;
}

void fleet::setPlatformFaults(const std::string& json) const
{
    const auto reply = callOnce(m_platformAddress, "POST", "/faults", {}, json);
    EXPECT_EQ(reply.status, 200) << reply.body << reply.failure;
}

void fleet::partitionFromPeers(const std::string& domain)
{
    link_fault cut;
    cut.isDisconnected = true;
    m_proxy.setFault(
        [this, &domain](const std::string& name) {
            const auto arrow = name.find('>');
            const auto target = m_instancePlans.find(name.substr(arrow + 1));
            if (target == m_instancePlans.end())
                return false;
            return name.substr(0, arrow) == domain || target->second.domain == domain;
        },
        cut);
}

void fleet::partitionFromPlatform(const std::string& domain)
{
    link_fault cut;
    cut.isDisconnected = true;
    m_proxy.setFault(domain + ">platform", cut);
}

} // namespace flamingoroute::testing
