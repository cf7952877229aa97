#include "flamingoroute/runtime/fleet_watch.hpp"

#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/fleet_port.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/settings/json_document.hpp"

#include <Poco/Random.h>

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr milliseconds relayWatchTimeout { 600 };
/// One kind has its watch answered more often than the others: an open connection may become unresponsive for good, and
/// a change must be active within a few seconds of that.
constexpr milliseconds usualWatchTimeout { 3500 };
/// Batches changes while many upstreams come and go. Far below the shortest time limit for a change, including that for
/// draining upstreams.
constexpr milliseconds usualWatchDelay { 150 };
/// For an instance of a large fleet that receives nothing from a relay: there are many of them, and each call has a
/// cost.
constexpr milliseconds watchDelayWithoutRelay { 500 };
/// Together with the delay of a digest, below the shortest time limit for a change of the configuration.
constexpr microseconds recentAnswerAge { 1'200'000 };
/// After a start, the instance follows relays for this long even if no digest has been received yet.
constexpr microseconds relayGrace { 2'500'000 };
/// A change that one relay forwards may arrive this long after the position of the other relay that includes it. Well
/// below the shortest time limit for a change.
constexpr milliseconds catchUpDelay { 400 };
/// Within this time after a restoration of the store, the writers of objects that it lost have written them again.
constexpr milliseconds restoreGrace { 2000 };
/// Between two attempts to register; longer than the change takes to return through a watch or a relay.
constexpr microseconds registrationGap { 2'000'000 };

double nextRandom()
{
    static Poco::Random source = [] {
        Poco::Random seeded;
        seeded.seed();
        return seeded;
    }();
    return source.nextDouble();
}

void logUnreadable(const fleet_object& object, const error& failure)
{
    event_line(log_level::warn, "store.unreadable")
        .with("name", object.name)
        .with("revision", toString(object.revision))
        .with(failure);
}

store_batch toBatch(const std::string& kind, const store_revision& after, const object_events& events)
{
    store_batch batch { kind, after, events.revision, {} };
    for (const auto& event : events.events) {
        relayed_change change;
        change.isDeleted = event.isDeleted;
        change.name = event.object.name;
        change.revision = event.object.revision;
        change.contentHash = event.object.contentHash;
        if (!event.object.specification.isNull())
            change.specification = toJsonText(event.object.specification);
        if (!event.object.status.isNull())
            change.status = toJsonText(event.object.status);
        batch.changes.push_back(std::move(change));
    }
    return batch;
}

Poco::JSON::Object::Ptr objectIn(const std::string& text)
{
    return text.empty() ? nullptr : parseJsonObject(text, "relayed").value_or(nullptr);
}

object_event eventOf(const relayed_change& change)
{
    object_event event;
    event.isDeleted = change.isDeleted;
    event.object
        = { change.name, change.revision, objectIn(change.specification), objectIn(change.status), change.contentHash };
    return event;
}

} // namespace

fleet_watch::fleet_watch(serving_state& state, watched_store& store, const fleet_port& port, hooks callbacks)
    : m_state(state)
    , m_store(store)
    , m_port(port)
    , m_hooks(std::move(callbacks))
{
    const auto add = [this](const std::string& kind, list_handler onList, event_handler onEvent) {
        m_watchers.emplace_back(kind, makeWatcher(kind, std::move(onList), std::move(onEvent)));
        return m_watchers.back().second;
    };
    add(
        port.versionOrderKind, [this](const auto& objects) { applyVersionOrders(objects); },
        [this](const object_event& event) { applyVersionOrderEvent(event); });
    add(
        port.evacuationKind, [this](const auto& objects) { recordEvacuations(objects); },
        [this](const object_event& event) { recordEvacuationEvent(event); });
    m_configuration = add(
        port.configurationKind,
        [this](const auto& objects) {
            for (const auto& object : objects)
                applyConfiguration(object);
        },
        [this](const object_event& event) {
            if (!event.isDeleted)
                applyConfiguration(event.object);
        });
    add(
        port.upstreamKind, [this](const auto& objects) { applyUpstreams(objects); },
        [this](const object_event& event) { applyUpstreamEvent(event); });
    m_members = add(
        port.memberKind, [this](const auto& objects) { applyMembers(objects); },
        [this](const object_event& event) { applyMemberEvent(event); });
}

fleet_watch::~fleet_watch() = default;

std::shared_ptr<object_watcher> fleet_watch::makeWatcher(
    const std::string& kind, list_handler onList, event_handler onEvent)
{
    object_watcher::handlers watcherHooks;
    watcherHooks.onList = std::move(onList);
    watcherHooks.onEvent = std::move(onEvent);
    watcherHooks.onBatch = [this, kind](const store_revision& after, const object_events& events) {
        m_hooks.onBatch(toBatch(kind, after, events));
    };
    watcherHooks.mayFollow = [this] { return mayFollow(); };
    watcherHooks.relayPosition = [this, kind] { return m_state.members.digests().positionOf(kind, monotonicNow()); };
    watcherHooks.onWatchTimeout = [this, kind] {
        for (const auto& [other, watcher] : m_watchers) {
            if (other != kind)
                watcher->abandonWatch();
        }
    };
    // While the store is unavailable only one kind retries: each call has a cost, even a refused one.
    watcherHooks.mayRetry = [this, kind] {
        return kind == m_port.configurationKind || !m_configuration || m_configuration->isConnected();
    };
    auto watcher = std::make_shared<object_watcher>(m_state.loop, m_store, kind, std::move(watcherHooks), nextRandom);
    watcher->setCatchUpDelay(catchUpDelay);
    // Each instance registers again when it sees that its registration is missing.
    watcher->setRestoreGrace(kind == m_port.memberKind ? milliseconds(0) : restoreGrace);
    return watcher;
}

bool fleet_watch::mayFollow() const
{
    const auto now = monotonicNow();
    const bool isStarting = m_state.members.usesRelays() && now - m_startedAt < relayGrace;
    return !m_state.members.isRelay(now) && (isStarting || m_state.members.digests().hasConnectedRelay(now));
}

void fleet_watch::start()
{
    m_startedAt = monotonicNow();
    for (const auto& [kind, watcher] : m_watchers)
        watcher->start();
}

void fleet_watch::stop()
{
    for (const auto& [kind, watcher] : m_watchers)
        watcher->stop();
}

bool fleet_watch::isComplete() const
{
    return m_state.table && std::all_of(m_watchers.begin(), m_watchers.end(), [](const auto& entry) {
        return entry.second->hasListed();
    });
}

bool fleet_watch::isConnected(monotonic_time now) const
{
    const bool areAll = std::all_of(
        m_watchers.begin(), m_watchers.end(), [](const auto& entry) { return entry.second->isConnected(); });
    return areAll && now - m_configuration->lastAnswerAt() < recentAnswerAge;
}

void fleet_watch::updateWatches()
{
    // Other instances rely on whether a relay is connected to the store, so a relay has its watch answered often.
    const bool isActiveRelay = m_state.members.usesRelays() && m_state.members.isRelay(monotonicNow());
    m_configuration->setMaxWait(isActiveRelay ? relayWatchTimeout : usualWatchTimeout);
    for (const auto& [kind, watcher] : m_watchers) {
        watcher->setWatchDelay(
            m_state.members.usesRelays() && !isActiveRelay ? watchDelayWithoutRelay : usualWatchDelay);
        watcher->checkRelay();
        watcher->checkEra(m_store.era());
    }
    ensureSelfRegistered();
}

void fleet_watch::applyBatch(const store_batch& batch)
{
    object_events events;
    events.revision = batch.revision;
    for (const auto& change : batch.changes)
        events.events.push_back(eventOf(change));
    for (const auto& [kind, watcher] : m_watchers) {
        if (kind == batch.kind)
            watcher->applyBatch(batch.after, events);
    }
}

std::vector<kind_position> fleet_watch::positions() const
{
    std::vector<kind_position> result;
    for (const auto& [kind, watcher] : m_watchers)
        result.push_back({ kind, watcher->position() });
    return result;
}

void fleet_watch::applyConfiguration(const fleet_object& object)
{
    if (object.name != m_port.configurationName)
        return;
    auto read = m_port.readConfiguration(object);
    if (!read) {
        logUnreadable(object, read.error());
        return;
    }
    const auto inForce = m_state.table ? m_state.table->version() : 0;
    if (m_state.table && read->version <= inForce)
        return;
    event_line(log_level::info, "configuration.adopted")
        .with("version", read->version)
        .with("before", inForce)
        .with("revision", toString(object.revision));
    m_state.table = std::make_shared<const routing_table>(std::move(*read));
}

void fleet_watch::applyUpstream(const fleet_object& object, bool isFirstList)
{
    // The first list is summarised in one log line.
    const auto level = isFirstList ? log_level::debug : log_level::info;
    const auto entry = m_port.readUpstream(object);
    if (!entry) {
        // An unreadable entry removes the upstream, even if an earlier entry was readable.
        m_state.upstreams.remove(upstream_id(object.name), monotonicNow());
        logUnreadable(object, entry.error());
        return;
    }
    const auto now = monotonicNow();
    const bool isApplied = m_state.upstreams.apply(*entry, now);
    m_state.versions.recordVersion(entry->service, entry->version, isFirstList, now);
    event_line(level, "upstream.listed")
        .with("upstream", object.name)
        .with("service", entry->service.value())
        .with("failure_domain", entry->failureDomain.value())
        .with("draining", entry->isDraining ? 1 : 0)
        .with("outdated", isApplied ? 0 : 1)
        .with("started_at_ms", entry->startedAtMs)
        .with("sequence", entry->sequence)
        .with("revision", toString(object.revision));
}

void fleet_watch::applyUpstreams(const std::vector<fleet_object>& objects)
{
    for (const auto& object : objects)
        applyUpstream(object, true);
    event_line(log_level::info, "upstreams.listed").with("count", m_state.upstreams.all().size());
}

void fleet_watch::applyUpstreamEvent(const object_event& event)
{
    if (!event.isDeleted) {
        applyUpstream(event.object, false);
        return;
    }
    m_state.upstreams.remove(upstream_id(event.object.name), monotonicNow());
    event_line(log_level::info, "upstream.gone").with("upstream", event.object.name);
}

void fleet_watch::applyVersionOrderEvent(const object_event& event)
{
    if (event.isDeleted)
        m_state.versions.removeOrder(service_id(event.object.name));
    else
        applyVersionOrder(event.object);
}

void fleet_watch::recordEvacuations(const std::vector<fleet_object>& objects)
{
    for (const auto& object : objects)
        m_evacuated.insert(failure_domain_id(object.name));
    applyEvacuations();
}

void fleet_watch::recordEvacuationEvent(const object_event& event)
{
    const failure_domain_id domain(event.object.name);
    if (event.isDeleted)
        m_evacuated.erase(domain);
    else
        m_evacuated.insert(domain);
    applyEvacuations();
}

void fleet_watch::applyVersionOrder(const fleet_object& object)
{
    const auto order = m_port.readVersionOrder(object);
    if (!order) {
        logUnreadable(object, order.error());
        return;
    }
    m_state.versions.recordOrder(*order, monotonicNow());
    event_line(log_level::info, "version_order.read")
        .with("service", order->service.value())
        .with("target", order->target.value())
        .with("state", toString(order->state))
        .with("duration_ms", order->duration.count())
        .with("revision", toString(order->revision));
}

void fleet_watch::applyVersionOrders(const std::vector<fleet_object>& objects)
{
    for (const auto& object : objects)
        applyVersionOrder(object);
}

void fleet_watch::refreshVersionOrder(const service_id& service)
{
    m_store.read(m_port.versionOrderKind, service.value(), false, [this, service](const auto& object) {
        if (object)
            applyVersionOrder(*object);
        else
            event_line(log_level::info, "version_order.not_read").with("service", service.value()).with(object.error());
    });
}

void fleet_watch::applyEvacuations()
{
    milliseconds coldTime { 0 };
    if (m_state.table) {
        for (const auto& service : m_state.table->configuration().services)
            coldTime = std::max(coldTime, service.coldTime);
    }
    m_state.upstreams.setEvacuated(m_evacuated, coldTime, monotonicNow());
    event_line line(log_level::info, "evacuations.read");
    line.with("count", m_evacuated.size());
    for (const auto& domain : m_evacuated)
        line.with("failure_domain", domain.value());
}

void fleet_watch::applyMembers(const std::vector<fleet_object>& objects)
{
    for (const auto& object : objects)
        applyMemberEvent({ false, object });
}

void fleet_watch::applyMemberEvent(const object_event& event)
{
    const instance_id name(event.object.name);
    const auto read = event.isDeleted ? tl::unexpected(error {}) : m_port.readMember(event.object);
    if (name == m_state.settings.instance)
        m_isSelfRegistered = read && *read == m_state.members.self();
    if (event.isDeleted)
        m_state.members.removeRegistered(name);
    else if (read)
        m_state.members.recordRegistered(*read, monotonicNow());
    else
        logUnreadable(event.object, read.error());
}

void fleet_watch::ensureSelfRegistered()
{
    const auto now = monotonicNow();
    if (m_isSelfRegistered || !m_members->hasListed() || now < m_nextRegistration)
        return;
    m_nextRegistration = now + registrationGap;
    m_hooks.onSelfUnregistered();
}

} // namespace flamingoroute
