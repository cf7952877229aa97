#include "flamingoroute/runtime/fleet_watch.hpp"

#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/fleet_port.hpp"
#include "flamingoroute/serving/serving_state.hpp"

#include <Poco/Random.h>

#include <algorithm>

namespace flamingoroute {

namespace {

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
        .with("revision", object.revision)
        .with(failure);
}

} // namespace

fleet_watch::fleet_watch(
    serving_state& state, watched_store& store, const fleet_port& port, std::function<void()> onSelfUnregistered)
    : m_state(state)
    , m_store(store)
    , m_port(port)
    , m_onSelfUnregistered(std::move(onSelfUnregistered))
{
    m_configuration = makeWatcher(port.configurationKind,
        { [this](const auto& objects) {
             std::for_each(objects.begin(), objects.end(), [this](const auto& object) { takeConfiguration(object); });
         },
            [this](const object_event& event) {
                if (!event.isDeleted)
                    takeConfiguration(event.object);
            } });
    m_upstreams = makeWatcher(port.upstreamKind,
        { [this](const auto& objects) { takeUpstreams(objects); },
            [this](const object_event& event) {
                if (event.isDeleted)
                    m_state.upstreams.remove(upstream_id(event.object.name));
                else
                    takeUpstream(event.object, false);
            } });
    m_orders = makeWatcher(port.versionOrderKind,
        { [this](const auto& objects) { takeVersionOrders(objects); },
            [this](const object_event& event) {
                if (event.isDeleted)
                    m_state.versions.noteOrderGone(service_id(event.object.name));
                else
                    takeVersionOrder(event.object);
            } });
    m_evacuations = makeWatcher(port.evacuationKind,
        { [this](const auto& objects) {
             m_evacuated.clear();
             for (const auto& object : objects)
                 m_evacuated.insert(failure_domain_id(object.name));
             applyEvacuations();
         },
            [this](const object_event& event) {
                const failure_domain_id domain(event.object.name);
                if (event.isDeleted)
                    m_evacuated.erase(domain);
                else
                    m_evacuated.insert(domain);
                applyEvacuations();
            } });
    m_members = makeWatcher(port.memberKind,
        { [this](const auto& objects) { takeMembers(objects); },
            [this](const object_event& event) { takeMember(event); } });
}

fleet_watch::~fleet_watch() = default;

std::shared_ptr<object_watcher> fleet_watch::makeWatcher(const std::string& kind, object_watcher::handlers handle)
{
    return std::make_shared<object_watcher>(m_state.loop, m_store, kind, std::move(handle), nextRandom);
}

void fleet_watch::start()
{
    for (const auto& watcher : { m_orders, m_evacuations, m_configuration, m_upstreams, m_members })
        watcher->start();
}

void fleet_watch::stop()
{
    for (const auto& watcher : { m_orders, m_evacuations, m_configuration, m_upstreams, m_members })
        watcher->stop();
}

bool fleet_watch::isComplete() const
{
    return m_state.table && m_upstreams->hasListed() && m_orders->hasListed() && m_evacuations->hasListed()
        && m_members->hasListed();
}

bool fleet_watch::isConnected() const { return m_configuration->isConnected() && m_upstreams->isConnected(); }

void fleet_watch::takeConfiguration(const fleet_object& object)
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
        .with("revision", object.revision);
    m_state.table = std::make_shared<const routing_table>(std::move(*read));
}

void fleet_watch::takeUpstream(const fleet_object& object, bool isFirstList)
{
    const auto entry = m_port.readUpstream(object);
    if (!entry) {
        // An entry that cannot be read names no upstream to use, also if an earlier one did.
        m_state.upstreams.remove(upstream_id(object.name));
        logUnreadable(object, entry.error());
        return;
    }
    const auto now = monotonicNow();
    m_state.upstreams.apply(*entry, now);
    m_state.versions.noteListed(entry->service, entry->version, isFirstList, now);
    event_line(log_level::info, "upstream.listed")
        .with("upstream", object.name)
        .with("service", entry->service.value())
        .with("failure_domain", entry->failureDomain.value())
        .with("draining", entry->isDraining ? 1 : 0)
        .with("revision", object.revision);
}

void fleet_watch::takeUpstreams(const std::vector<fleet_object>& objects)
{
    const bool isFirstList = m_state.upstreams.all().empty();
    std::set<upstream_id> listed;
    for (const auto& object : objects) {
        takeUpstream(object, isFirstList);
        listed.insert(upstream_id(object.name));
    }
    m_state.upstreams.retainOnly(listed);
}

void fleet_watch::takeVersionOrder(const fleet_object& object)
{
    const auto order = m_port.readVersionOrder(object);
    if (!order) {
        logUnreadable(object, order.error());
        return;
    }
    m_state.versions.noteOrder(*order, monotonicNow());
    event_line(log_level::info, "version_order.read")
        .with("service", order->service.value())
        .with("target", order->target.value())
        .with("state", toString(order->state))
        .with("duration_ms", order->duration.count())
        .with("revision", order->revision);
}

void fleet_watch::takeVersionOrders(const std::vector<fleet_object>& objects)
{
    std::set<service_id> listed;
    for (const auto& object : objects) {
        takeVersionOrder(object);
        listed.insert(service_id(object.name));
    }
    m_state.versions.retainOrders(listed);
}

void fleet_watch::applyEvacuations()
{
    milliseconds coldTime { 0 };
    if (m_state.table) {
        for (const auto& service : m_state.table->source().services)
            coldTime = std::max(coldTime, service.coldTime);
    }
    m_state.upstreams.setEvacuated(m_evacuated, coldTime, monotonicNow());
    event_line line(log_level::info, "evacuations.read");
    line.with("count", m_evacuated.size());
    for (const auto& domain : m_evacuated)
        line.with("failure_domain", domain.value());
}

void fleet_watch::takeMembers(const std::vector<fleet_object>& objects)
{
    std::vector<member> all;
    bool isSelfThere = false;
    for (const auto& object : objects) {
        const auto read = m_port.readMember(object);
        if (read)
            all.push_back(*read);
        else
            logUnreadable(object, read.error());
        isSelfThere = isSelfThere || (read && *read == m_state.members.self());
    }
    m_state.members.replaceRegistered(all, monotonicNow());
    if (!isSelfThere)
        m_onSelfUnregistered();
}

void fleet_watch::takeMember(const object_event& event)
{
    const instance_id name(event.object.name);
    if (event.isDeleted) {
        m_state.members.noteUnregistered(name);
        if (name == m_state.settings.instance)
            m_onSelfUnregistered();
        return;
    }
    const auto read = m_port.readMember(event.object);
    if (read)
        m_state.members.noteRegistered(*read, monotonicNow());
    else
        logUnreadable(event.object, read.error());
}

} // namespace flamingoroute
