#include "config_fleet.hpp"

#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds tickInterval { 50 };
constexpr microseconds localDelay { 500 };
constexpr milliseconds remoteDelay { 28 };
constexpr milliseconds platformDelay { 30 };
constexpr double remoteLoss = 0.02; ///< fraction of messages lost between failure domains
constexpr std::size_t watchersPerDomain = 2;

config_source sourceOf(const std::string& name) { return { instance_id(name), process_role::control }; }

} // namespace

config_fleet::config_fleet(std::uint64_t seed)
    : m_random(seed)
{
}

void config_fleet::build(int instances, int domains)
{
    for (int i = 0; i < instances; ++i) {
        auto& fresh = m_nodes["i" + std::to_string(i + 1)];
        fresh.domain = "d" + std::to_string(i % domains + 1);
    }
    for (auto& [name, fresh] : m_nodes)
        reset(fresh);
    setPeers();
    for (const auto& name : names())
        after(microseconds(m_random() % 50'000), [this, name] { tick(name); });
}

std::unique_ptr<config_replica> config_fleet::makeReplica()
{
    return std::make_unique<config_replica>(
        replica_settings {}, now(), [this](std::size_t bound) { return m_random() % bound; });
}

void config_fleet::reset(node& fresh)
{
    fresh.replica = makeReplica();
    fresh.policy
        = std::make_unique<watch_policy>([this] { return std::uniform_real_distribution<double>(0, 1)(m_random); });
    fresh.keys = std::make_unique<key_authenticator>(hasher(), [this] { return now(); });
    fresh.platformAnsweredAt.reset();
    fresh.watchedVersion = 0;
    fresh.highestRevision = 0;
    ++fresh.incarnation;
}

void config_fleet::setPeers()
{
    for (auto& [name, self] : m_nodes) {
        replica_peers peers;
        for (const auto& [other, entry] : m_nodes) {
            if (other == name)
                continue;
            peers.any.push_back(sourceOf(other));
            (entry.domain == self.domain ? peers.local : peers.remote).push_back(sourceOf(other));
        }
        self.replica->setPeers(peers);
    }
}

std::vector<std::string> config_fleet::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, entry] : m_nodes)
        result.push_back(name);
    return result;
}

void config_fleet::advanceTo(microseconds until)
{
    while (!m_events.empty() && m_events.begin()->first <= until) {
        const auto first = m_events.begin();
        m_now = first->first;
        const auto event = std::move(first->second);
        m_events.erase(first);
        event();
    }
    m_now = until;
}

void config_fleet::after(microseconds delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

bool config_fleet::isLinked(const std::string& from, const std::string& to) const
{
    const auto& here = m_nodes.at(from).domain;
    const auto& there = m_nodes.at(to).domain;
    return here == there || (m_cutFromPeers.count(here) == 0 && m_cutFromPeers.count(there) == 0);
}

bool config_fleet::isPlatformReachable(const node& from) const
{
    return !store.isDown && m_cutFromPlatform.count(from.domain) == 0;
}

void config_fleet::send(const std::string& from, const std::string& to, replica_event event)
{
    const bool isRemote = m_nodes.at(from).domain != m_nodes.at(to).domain;
    const bool isLost = isRemote && std::uniform_real_distribution<double>(0, 1)(m_random) < remoteLoss;
    if (isLost || !isLinked(from, to))
        return;
    const int incarnation = m_nodes.at(to).incarnation;
    after(isRemote ? remoteDelay : localDelay, [this, to, incarnation, event = std::move(event)] {
        auto& receiver = m_nodes.at(to);
        if (receiver.incarnation != incarnation)
            return;
        const auto deliver = [this, to, event] { perform(to, event(*m_nodes.at(to).replica, now())); };
        if (receiver.isPaused)
            receiver.waiting.emplace_back(deliver);
        else
            deliver();
    });
}

void config_fleet::recordRevision(const std::string& instance)
{
    auto& self = m_nodes.at(instance);
    const auto number = self.replica->position().number;
    if (number < self.highestRevision && m_regressedInstance.empty())
        m_regressedInstance = instance;
    self.highestRevision = std::max(self.highestRevision, number);
}

void config_fleet::perform(const std::string& instance, const replica_actions& actions)
{
    auto& self = m_nodes.at(instance);
    const auto from = sourceOf(instance);
    recordRevision(instance);
    for (const auto& action : actions) {
        if (const auto* offer = std::get_if<send_offer>(&action)) {
            send(instance, offer->to.instance.value(), [from, offered = offer->offer](auto& replica, auto when) {
                return replica.onOffer(from, offered, when);
            });
        } else if (const auto* head = std::get_if<fetch_head>(&action)) {
            if (head->from.isStore())
                callPlatform(instance, watch_step::read_head);
            else
                send(instance, head->from.instance.value(),
                    [from, hash = head->hash](auto& replica, auto) { return replica.onRequest(from, { hash }); });
        } else if (const auto* chunks = std::get_if<fetch_chunks>(&action)) {
            for (const auto& hash : chunks->hashes) {
                if (chunks->from.isStore())
                    readChunk(instance, hash);
                else
                    send(instance, chunks->from.instance.value(),
                        [from, hash](auto& replica, auto) { return replica.onRequest(from, { hash }); });
            }
        } else if (const auto* content = std::get_if<send_content>(&action)) {
            send(instance, content->to.instance.value(), [reply = content->reply](auto& replica, auto when) {
                return replica.onContent(reply.hash, reply.content, when);
            });
        } else if (const auto* adopted = std::get_if<adopt_configuration>(&action)) {
            self.keys->adopt(adopted->objects);
        } else {
            ++self.faults;
        }
    }
}

bool config_fleet::isWatcher(const std::string& instance) const
{
    std::vector<instance_id> candidates;
    for (const auto& [name, entry] : m_nodes) {
        if (entry.domain == m_nodes.at(instance).domain && !entry.isPaused)
            candidates.emplace_back(name);
    }
    const auto watchers = pickByRendezvous("watch", candidates, watchersPerDomain);
    return std::find(watchers.begin(), watchers.end(), instance_id(instance)) != watchers.end();
}

void config_fleet::tick(const std::string& instance)
{
    auto& self = m_nodes.at(instance);
    after(tickInterval, [this, instance] { tick(instance); });
    if (self.isPaused)
        return;
    perform(instance, self.replica->onTick(now()));
    const auto step = self.policy->next(isWatcher(instance), self.platformAnsweredAt, now());
    if (step != watch_step::wait)
        callPlatform(instance, step);
}

void config_fleet::callPlatform(const std::string& instance, watch_step step)
{
    auto& self = m_nodes.at(instance);
    const bool isReached = isPlatformReachable(self);
    self.policy->onDone(step, isReached, now());
    if (step != watch_step::watch_head || !isReached)
        ++platformCalls;
    if (!isReached || step == watch_step::read_instances)
        return;
    self.platformAnsweredAt = now();
    const auto head = store.objects.find({ configHeadKind, configHeadName });
    if (head == store.objects.end())
        return;
    const bool isNewer = head->second.version > self.watchedVersion;
    if (step == watch_step::watch_head && !isNewer)
        return;
    self.watchedVersion = head->second.version;
    const int incarnation = self.incarnation;
    after(platformDelay, [this, instance, incarnation, value = head->second.value] {
        if (m_nodes.at(instance).incarnation == incarnation)
            perform(instance, m_nodes.at(instance).replica->onStoreHead(value, now()));
    });
}

void config_fleet::readChunk(const std::string& instance, const std::string& hash)
{
    ++platformCalls;
    const auto chunk = store.objects.find({ configChunkKind, hash });
    const int incarnation = m_nodes.at(instance).incarnation;
    if (chunk == store.objects.end() || !isPlatformReachable(m_nodes.at(instance)))
        return;
    after(platformDelay, [this, instance, incarnation, hash, value = chunk->second.value] {
        if (m_nodes.at(instance).incarnation == incarnation)
            perform(instance, m_nodes.at(instance).replica->onContent(hash, value, now()));
    });
}

void config_fleet::heal()
{
    m_cutFromPlatform.clear();
    m_cutFromPeers.clear();
}

void config_fleet::pause(const std::string& instance) { m_nodes.at(instance).isPaused = true; }

void config_fleet::resume(const std::string& instance)
{
    auto& self = m_nodes.at(instance);
    self.isPaused = false;
    for (const auto& deliver : std::exchange(self.waiting, {}))
        deliver();
}

void config_fleet::restart(const std::string& instance)
{
    reset(m_nodes.at(instance));
    setPeers();
}

void config_fleet::saveSnapshot(const std::string& instance)
{
    auto& self = m_nodes.at(instance);
    self.snapshot = std::make_unique<config_replica>(*self.replica);
}

void config_fleet::rollBack(const std::string& instance)
{
    auto& self = m_nodes.at(instance);
    ++self.incarnation;
    self.replica = std::make_unique<config_replica>(*self.snapshot);
    self.highestRevision = self.replica->position().number;
}

void config_fleet::broadcast(const key_withdrawal& withdrawal, const std::string& from)
{
    for (auto& [name, entry] : m_nodes) {
        if (!isLinked(from, name) || entry.isPaused)
            continue;
        after(remoteDelay, [this, name = name, withdrawal] { m_nodes.at(name).keys->withdraw(withdrawal); });
    }
}

bool config_fleet::isKeyAccepted(const std::string& instance, const std::string& key) const
{
    return m_nodes.at(instance).keys->authenticate(key).has_value();
}

revision config_fleet::highest() const
{
    revision result = 0;
    for (const auto& [name, entry] : m_nodes)
        result = std::max(result, entry.replica->position().number);
    return result;
}

} // namespace flamingoroute::testing
