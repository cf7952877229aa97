#include "flamingoroute/runtime/config_sync.hpp"

#include "flamingoroute/peers/peer_bus.hpp"
#include "flamingoroute/peers/rendezvous.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/member_directory.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t watchersPerDomain = 2;

process_role otherRole(process_role role)
{
    return role == process_role::entry ? process_role::control : process_role::entry;
}

void logFault(const error& fault)
{
    event_line(log_level::warn, "config.fault")
        .with("code", toString(fault.code))
        .with("step", fault.step)
        .with("peer", fault.peer)
        .with("detail", fault.detail);
}

} // namespace

config_sync::config_sync(const member& self, process_role role, incarnation localIncarnation,
    const std::vector<member>& seeds, member_directory& directory, peer_bus& bus, object_store* store,
    config_sync_hooks hooks)
    : m_self(self)
    , m_role(role)
    , m_directory(directory)
    , m_bus(bus)
    , m_hooks(std::move(hooks))
    , m_config({}, configHooks())
    , m_members(self, role, localIncarnation, seeds, membershipHooks())
    , m_watch(store ? std::make_unique<watch_duty>(*store, watchHooks()) : nullptr)
{
    std::vector<member_status> known;
    known.push_back({ self, member_state::live, localIncarnation, 0 });
    for (const auto& seed : seeds)
        known.push_back({ seed, member_state::suspect, 0, 0 });
    m_config.setPeers(peersOf(known, {}));
    if (m_watch)
        m_watch->setWatchRole(isWatcher(known));
}

config_sync::~config_sync() { stop(); }

void config_sync::registerWith(message_router& router)
{
    m_config.registerWith(router);
    m_members.registerWith(router);
}

void config_sync::start()
{
    m_config.start();
    m_members.start();
    if (m_watch)
        m_watch->start();
}

void config_sync::stop()
{
    if (m_watch)
        m_watch->stop();
    m_members.stop();
    m_config.stop();
}

void config_sync::send(const instance_id& to, process_role role, message_kind kind, std::string body) const
{
    const auto address = m_directory.addressOf(to, role);
    if (address)
        m_bus.send(*address, kind, std::move(body));
}

config_duty_hooks config_sync::configHooks()
{
    config_duty_hooks hooks;
    hooks.send = [this](const auto& to, auto role, auto kind, auto body) { send(to, role, kind, std::move(body)); };
    hooks.onAdopted = [this](const configuration_ptr& current, const config_position&) { m_hooks.onAdopted(current); };
    hooks.onError = logFault;
    hooks.readHead = [this] {
        if (m_watch)
            m_watch->readHead();
    };
    hooks.readChunks = [this](const auto& hashes) {
        if (m_watch)
            m_watch->readChunks(hashes);
    };
    return hooks;
}

membership_duty_hooks config_sync::membershipHooks()
{
    membership_duty_hooks hooks;
    hooks.send = [this](const auto& to, auto role, auto kind, auto body) { send(to, role, kind, std::move(body)); };
    hooks.activeRevision = [this] { return m_config.position().number; };
    hooks.isLeaving = [this] { return m_hooks.isLeaving && m_hooks.isLeaving(); };
    hooks.lastPlatformAnswerAt = [this] { return lastPlatformAnswerAt(); };
    hooks.onPlatformAnswer = [this](monotonic_time when) {
        if (m_hooks.onPlatformAnswer)
            m_hooks.onPlatformAnswer(when);
    };
    hooks.onMembers = [this](const auto& members, const auto& bridges) { onMembers(members, bridges); };
    return hooks;
}

watch_duty_hooks config_sync::watchHooks()
{
    watch_duty_hooks hooks;
    hooks.onHead = [this](const std::string& value) { m_config.onStoreHead(value); };
    hooks.onChunk = [this](const std::string& hash, const std::string& value) { m_config.onContent(hash, value); };
    hooks.onInstances = [this](const auto& listed) { m_members.onPlatformList(listed); };
    hooks.onError = logFault;
    hooks.lastPlatformAnswerAtPeers = [this] { return m_members.lastPlatformAnswerAt(); };
    return hooks;
}

std::optional<monotonic_time> config_sync::lastPlatformAnswerAt() const
{
    const bool isNewest = m_watch && m_config.storePosition() == m_config.position();
    return isNewest ? m_watch->lastReadSentAt() : std::nullopt;
}

void config_sync::onMembers(const std::vector<member_status>& members, const std::vector<instance_id>& remoteBridges)
{
    for (const auto& known : members)
        m_directory.put(known.memberInfo);
    m_config.setPeers(peersOf(members, remoteBridges));
    if (m_watch)
        m_watch->setWatchRole(isWatcher(members));
    if (m_hooks.onMembers)
        m_hooks.onMembers(members);
}

replica_peers config_sync::peersOf(
    const std::vector<member_status>& members, const std::vector<instance_id>& remoteBridges) const
{
    replica_peers peers;
    peers.local.push_back({ m_self.instance, otherRole(m_role) });
    for (const auto& known : members) {
        if (known.memberInfo.instance == m_self.instance || known.state == member_state::gone)
            continue;
        peers.any.push_back({ known.memberInfo.instance, m_role });
        if (known.memberInfo.failureDomain != m_self.failureDomain)
            continue;
        peers.local.push_back({ known.memberInfo.instance, process_role::entry });
        peers.local.push_back({ known.memberInfo.instance, process_role::control });
    }
    for (const auto& bridge : remoteBridges)
        peers.remote.push_back({ bridge, m_role });
    return peers;
}

bool config_sync::isWatcher(const std::vector<member_status>& members) const
{
    std::vector<instance_id> candidates;
    for (const auto& known : members) {
        const bool isHere = known.memberInfo.failureDomain == m_self.failureDomain;
        if (isHere && (known.state == member_state::live || known.memberInfo.instance == m_self.instance))
            candidates.push_back(known.memberInfo.instance);
    }
    const auto watchers = pickByRendezvous("watch", candidates, watchersPerDomain);
    return std::find(watchers.begin(), watchers.end(), m_self.instance) != watchers.end();
}

} // namespace flamingoroute
