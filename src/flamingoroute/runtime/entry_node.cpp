#include "flamingoroute/runtime/entry_node.hpp"

#include "flamingoroute/keys/key_authenticator.hpp"
#include "flamingoroute/keys/key_secret.hpp"
#include "flamingoroute/limits/rate_limiter.hpp"
#include "flamingoroute/peers/incarnation_filter.hpp"
#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/report/metrics_text.hpp"
#include "flamingoroute/requests/request_pipeline.hpp"
#include "flamingoroute/requests/upstream_client.hpp"
#include "flamingoroute/runtime/caller_server.hpp"
#include "flamingoroute/runtime/config_sync.hpp"
#include "flamingoroute/runtime/configuration_holder.hpp"
#include "flamingoroute/runtime/incarnation_clock.hpp"
#include "flamingoroute/runtime/limits_duty.hpp"
#include "flamingoroute/runtime/lookup_json.hpp"
#include "flamingoroute/runtime/member_directory.hpp"
#include "flamingoroute/runtime/message_router.hpp"
#include "flamingoroute/runtime/node_wiring.hpp"
#include "flamingoroute/runtime/report_duty.hpp"
#include "flamingoroute/runtime/request_guards.hpp"
#include "flamingoroute/runtime/small_fleet.hpp"
#include "flamingoroute/runtime/steering_duty.hpp"
#include "flamingoroute/runtime/version_duty.hpp"
#include "flamingoroute/steering/lookup_table.hpp"
#include "flamingoroute/steering/upstream_pool.hpp"
#include "flamingoroute/store/http_object_store.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace flamingoroute {

namespace {

constexpr milliseconds leavePropagationTime { 1500 }; ///< time in which a planned stop reaches all instances
constexpr milliseconds floorTimeout { 4000 };
constexpr std::size_t reportReceiversInLargeFleet = 2;
constexpr milliseconds connectionDrainTime { 500 }; ///< time in which callers are notified that their connection closes

steering_identity identityOf(const member& self, incarnation localIncarnation)
{
    return steering_identity { self.instance, localIncarnation, self.failureDomain, self.region };
}

lookup_settings lookupSettings(const entry_options& options)
{
    lookup_settings settings;
    settings.timeToLive = options.lookupTtl;
    return settings;
}

/// Divides each upstream's connection limit among the instances known at the start.
upstream_client_options clientOptions(const instance_settings& settings)
{
    upstream_client_options options;
    options.instancesPerUpstream = static_cast<int>(settings.peers.size()) + 1;
    options.maxAnswerBytes = static_cast<std::size_t>(settings.entry.maxAnswerBytes);
    return options;
}

} // namespace

struct entry_node::parts {
    explicit parts(instance_settings given)
        : settings(std::move(given))
        , localIncarnation(newIncarnation())
        , bus(settings.self.instance, process_role::entry, localIncarnation)
        , store(storeSettings(settings))
        , pool(identityOf(settings.self, localIncarnation), senderTo(directory, bus))
        , steering(pool, store, settings.self, localIncarnation, [this] { return directory.all(); })
        , limiter(settings.self.instance, localIncarnation, limitSettingsFor(settings), senderTo(directory, bus))
        , limits(limiter)
        , client(clientOptions(settings))
        , guards(settings, localIncarnation, directory, bus)
        , versions(move_settings {}, versionHooks())
        , reports(reportHooks())
        , pipeline(pipelineHooks())
        , callers(settings.entry, settings.self.instance.value() + "-" + std::to_string(localIncarnation) + "-",
              serverHooks())
    {
        directory.put(settings.self);
        for (const auto& peer : settings.peers)
            directory.put(peer);
        for (const auto kind : { message_kind::slot_request, message_kind::slot_grant })
            router.on(kind, [this](const envelope& message) { steering.post(message); });
    }

    pipeline_hooks pipelineHooks();
    version_duty_hooks versionHooks();
    report_duty_hooks reportHooks();
    caller_server_hooks serverHooks();
    config_sync_hooks configSyncHooks();
    void adopt(const configuration_ptr& current);
    void updateLiveMembers(const std::vector<member_status>& members);
    void applyWithdrawal(const envelope& message);
    void rebuildLookups();
    std::vector<instance_id> reportReceivers() const;
    instance_id nextPeer();
    bool isAdmitting();
    void addMetrics(metrics_text& text) const;
    void answerMetrics(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) const;
    caller_answer lookUp(const std::string& clientAddress) const;

    instance_settings settings;
    incarnation localIncarnation;
    member_directory directory;
    message_router router;
    peer_bus bus;
    configuration_holder holder;
    http_object_store store;
    incarnation_filter filter; ///< used by the bus's thread only
    std::unique_ptr<key_authenticator> keys;
    upstream_pool pool;
    steering_duty steering;
    rate_limiter limiter;
    limits_duty limits;
    upstream_client client;
    std::mutex lookupsMutex;
    std::vector<member> liveMembers;
    std::atomic<lookup_table_ptr> lookups;
    request_guards guards;
    version_duty versions;
    report_duty reports;
    request_pipeline pipeline;
    caller_server callers;
    http_host metricsHost;
    std::unique_ptr<config_sync> config;
    std::atomic<std::size_t> nextPeerIndex { 0 };
    std::atomic<bool> isLeaving { false };
    std::atomic<bool> isWarmedUp { false };
    std::atomic<monotonic_time> firstAdoptedAt { monotonic_time {} };
};

pipeline_hooks entry_node::parts::pipelineHooks()
{
    pipeline_hooks hooks;
    hooks.now = monotonicNow;
    hooks.currentConfiguration = [this] { return holder.get(); };
    hooks.authenticate = [this](const std::string& key) { return keys->authenticate(key); };
    hooks.admit = [this](const auto& customer, auto deadline) { return limiter.admit(customer, deadline); };
    hooks.chooseVersion = [this](const service& requestedService, const route& matchedRoute) {
        return versions.choose(requestedService, matchedRoute);
    };
    hooks.chooseRetryVersion = [this](const service& requestedService, const route& matchedRoute) {
        return versions.chooseForRetry(requestedService, matchedRoute);
    };
    hooks.observeAttempt
        = [this](const service& requestedService, const route& matchedRoute, const version_id& version,
              const attempt_result& result) { versions.observe(requestedService, matchedRoute, version, result); };
    hooks.acquireUpstream = [this](const upstream_requirements& requirements) { return pool.acquire(requirements); };
    hooks.releaseUpstream = [this](const auto& chosen, const auto& result) { pool.release(chosen, result); };
    hooks.attempt = [this](const auto& target, const auto& request, auto deadline) {
        return client.attempt(target, request, deadline);
    };
    guards.addTo(hooks);
    hooks.observe = [this](const request_record& record) { reports.recordRequest(record); };
    return hooks;
}

version_duty_hooks entry_node::parts::versionHooks()
{
    version_duty_hooks hooks;
    hooks.currentConfiguration = [this] { return holder.get(); };
    hooks.members = [this] { return directory.ids(); };
    hooks.send = senderTo(directory, bus);
    return hooks;
}

report_duty_hooks entry_node::parts::reportHooks()
{
    report_duty_hooks hooks;
    hooks.failureDomain = settings.self.failureDomain;
    hooks.currentConfiguration = [this] { return holder.get(); };
    hooks.receivers = [this] { return reportReceivers(); };
    hooks.send = senderTo(directory, bus);
    hooks.addMetrics = [this](metrics_text& text) { addMetrics(text); };
    return hooks;
}

/// In a small fleet every control process receives the counts and can report the burn of the whole fleet; in a large
/// one the first two of the failure domain report the burn of their domain.
std::vector<instance_id> entry_node::parts::reportReceivers() const
{
    const auto all = directory.all();
    const bool isSmall = all.size() <= smallFleetInstances;
    std::vector<instance_id> result;
    for (const auto& each : all) {
        const bool isLocal = each.failureDomain == settings.self.failureDomain;
        if (isSmall || (isLocal && result.size() < reportReceiversInLargeFleet))
            result.push_back(each.instance);
    }
    return result;
}

/// A newly started instance of a small fleet admits requests once it has floors and could serve alone, or after a
/// timeout: a customer's burst may be too small to give every instance a floor, and an outage of the platform allows no
/// new floors.
bool entry_node::parts::isAdmitting()
{
    const auto adoptedAt = firstAdoptedAt.load();
    if (isWarmedUp || adoptedAt == monotonic_time {})
        return isWarmedUp;
    const bool isSmall = settings.peers.size() < smallFleetInstances;
    if (!isSmall || limiter.hasFloors() || monotonicNow() > adoptedAt + floorTimeout)
        isWarmedUp = true;
    return isWarmedUp;
}

/// @return the other instances in turn; empty when it is the turn of this instance
instance_id entry_node::parts::nextPeer()
{
    const auto all = directory.all();
    const auto& candidate = all[nextPeerIndex++ % all.size()].instance;
    return candidate == settings.self.instance ? instance_id {} : candidate;
}

void entry_node::parts::addMetrics(metrics_text& text) const
{
    const auto current = holder.get();
    text.gauge("flamingo_config_revision", "Revision of the configuration in force.", {},
        current ? static_cast<double>(current->number) : 0);
    text.gauge("flamingo_active_requests", "Requests in progress.", {}, callers.activeCount());
    text.gauge("flamingo_upstream_connections", "Open connections to upstreams.", {}, client.openConnections());
    text.counter("flamingo_peer_messages_dropped_total", "Messages dropped because a peer did not accept them.", {},
        bus.droppedCount());
}

caller_server_hooks entry_node::parts::serverHooks()
{
    caller_server_hooks hooks;
    hooks.serve = [this](const caller_request& request) { return pipeline.handle(request); };
    hooks.lookUp = [this](const std::string& clientAddress) { return lookUp(clientAddress); };
    hooks.isReady = [this] { return config && config->isReady() && !isLeaving && isAdmitting(); };
    return hooks;
}

caller_answer entry_node::parts::lookUp(const std::string& clientAddress) const
{
    const auto table = lookups.load();
    if (!table) {
        refusal why;
        why.step = "lookup";
        why.detail = "no configuration is active yet";
        return answerOf(why);
    }
    return lookupAnswerAsJson(table->lookup(clientAddress));
}

void entry_node::parts::rebuildLookups()
{
    const auto current = holder.get();
    if (!current)
        return;
    const std::lock_guard lock(lookupsMutex);
    std::vector<member> live;
    for (const auto& known : liveMembers) {
        if (!(isLeaving && known.instance == settings.self.instance))
            live.push_back(known);
    }
    lookups.store(std::make_shared<const lookup_table>(
        *current, std::move(live), settings.self.region, lookupSettings(settings.entry)));
}

void entry_node::parts::adopt(const configuration_ptr& current)
{
    keys->adopt(current);
    pool.adopt(current);
    limiter.adopt(*current);
    holder.set(current);
    if (firstAdoptedAt.load() == monotonic_time {})
        firstAdoptedAt = monotonicNow();
    rebuildLookups();
    event_line(log_level::info, "config.adopted").with("revision", current->number);
}

config_sync_hooks entry_node::parts::configSyncHooks()
{
    config_sync_hooks hooks;
    hooks.onAdopted = [this](const configuration_ptr& current) { adopt(current); };
    hooks.onMembers = [this](const auto& members) { updateLiveMembers(members); };
    hooks.onPlatformAnswer = [this](monotonic_time when) { keys->confirmFresh(when); };
    hooks.isLeaving = [this] { return isLeaving.load(); };
    return hooks;
}

void entry_node::parts::updateLiveMembers(const std::vector<member_status>& members)
{
    std::vector<member> live;
    for (const auto& known : members) {
        if (known.state == member_state::live)
            live.push_back(known.memberInfo);
    }
    {
        const std::lock_guard lock(lookupsMutex);
        if (live == liveMembers)
            return;
        liveMembers = std::move(live);
    }
    rebuildLookups();
}

/// Refuses a withdrawn key at once. Forwards the withdrawal to the failure domain the first time it is received.
void entry_node::parts::applyWithdrawal(const envelope& message)
{
    const auto withdrawal = unpackMessage<key_withdrawal>(message.body);
    if (!withdrawal || !keys->withdraw(*withdrawal))
        return;
    event_line(log_level::info, "key.withdrawn").with("key", withdrawal->key).with("revision", withdrawal->number);
    for (const auto& peer : directory.all()) {
        if (peer.instance != settings.self.instance && peer.failureDomain == settings.self.failureDomain)
            bus.send(peer.entryAddress, message_kind::key_withdrawal, message.body);
    }
}

void entry_node::parts::answerMetrics(
    Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) const
{
    const bool isMetrics = request.getURI() == "/metrics";
    const std::string text = isMetrics ? reports.metrics() : "only /metrics is served here\n";
    if (!isMetrics)
        response.setStatus(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
    response.setContentType("text/plain; version=0.0.4");
    response.sendBuffer(text.data(), text.size());
}

entry_node::entry_node(instance_settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings)))
{
}

entry_node::~entry_node() = default;

tl::expected<void, error> entry_node::start()
{
    auto& p = *m_parts;
    const auto pepper = readKeyPepper(p.settings.keyPepperFile);
    if (!pepper)
        return tl::unexpected(pepper.error());
    p.keys = std::make_unique<key_authenticator>(key_hasher(*pepper), monotonicNow);
    p.config = std::make_unique<config_sync>(p.settings.self, process_role::entry, p.localIncarnation, p.settings.peers,
        p.directory, p.bus, nullptr, p.configSyncHooks());
    p.config->registerWith(p.router);
    p.router.on(message_kind::key_withdrawal, [&p](const envelope& message) { p.applyWithdrawal(message); });
    p.guards.registerWith(p.router);
    p.versions.registerWith(p.router);
    p.limiter.setPeerSelector([&p] { return p.nextPeer(); });
    p.limits.registerWith(p.router);
    p.limits.start();
    p.guards.start();
    p.versions.start();
    p.reports.start();
    const auto listening = p.bus.listen(p.settings.self.entryAddress, [&p](const envelope& message) {
        if (p.filter.accept(message))
            p.router.route(message);
    });
    if (!listening)
        return listening;
    p.steering.start();
    p.config->start();
    const auto metricsStarted = p.metricsHost.start(p.settings.metricsAddress, http_host_options {},
        [&p](auto& request, auto& response) { p.answerMetrics(request, response); });
    if (!metricsStarted)
        return metricsStarted;
    const auto started = p.callers.start(p.settings.self.callerAddress);
    if (!started)
        return started;
    event_line(log_level::info, "entry.started")
        .with("callers", toString(p.settings.self.callerAddress))
        .with("incarnation", p.localIncarnation);
    return {};
}

void entry_node::stop()
{
    auto& p = *m_parts;
    event_line(log_level::info, "entry.stopping").with("active", p.callers.activeCount());
    p.isLeaving = true;
    p.rebuildLookups();
    std::this_thread::sleep_for(p.settings.entry.lookupTtl + leavePropagationTime);
    p.callers.startDraining();
    std::this_thread::sleep_for(connectionDrainTime);
    p.callers.stop(p.settings.entry.stopTimeout);
    p.guards.stop();
    p.versions.stop();
    p.reports.stop();
    p.metricsHost.stop(milliseconds { 0 });
    p.config->stop();
    p.steering.stop();
    p.limits.stop();
    p.bus.stop();
    event_line(log_level::info, "entry.stopped");
}

} // namespace flamingoroute
