#include "flamingoroute/config/config_replica.hpp"

#include "flamingoroute/config/config_assembly.hpp"
#include "flamingoroute/config/content_hash.hpp"
#include "flamingoroute/config/object_codec.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

const config_source storeSource {};

std::string nameOfSource(const config_source& source) { return source.isStore() ? "store" : source.instance.value(); }

report_fault fault(error_code code, const std::string& step, const config_source& peer, const std::string& detail)
{
    return report_fault { error { code, step, nameOfSource(peer), detail } };
}

} // namespace

config_replica::config_replica(replica_settings settings, monotonic_time start, random_pick pick)
    : m_settings(settings)
    , m_start(start)
    , m_nextGossip(start)
    , m_pick(std::move(pick))
{
}

void config_replica::setPeers(replica_peers peers) { m_peers = std::move(peers); }

replica_actions config_replica::onOffer(const config_source& from, const config_offer& offer, monotonic_time now)
{
    replica_actions actions;
    if (offer.isReplyRequested && offer.position != m_position && m_position.number >= offer.position.number)
        offerTo(from, false, actions);
    evaluateOffer(from, offer.position, actions);
    advanceTarget(now, actions);
    return actions;
}

replica_actions config_replica::onStoreHead(const std::string& value, monotonic_time now)
{
    replica_actions actions;
    const auto head = parseHead(value);
    if (!head) {
        actions.emplace_back(report_fault { head.error() });
        return actions;
    }
    m_storePosition = positionOf(*head, value);
    evaluateOffer(storeSource, m_storePosition, actions);
    if (m_target && m_target->position == m_storePosition && !m_target->head)
        acceptHead(value, actions);
    advanceTarget(now, actions);
    return actions;
}

void config_replica::evaluateOffer(const config_source& from, const config_position& offered, replica_actions& actions)
{
    if (offered.number == 0)
        return;
    if (offered.number < m_position.number) {
        if (from.isStore() && m_reported != offered) {
            m_reported = offered;
            actions.emplace_back(fault(error_code::conflict, "config.adopt", from,
                "holds revision " + std::to_string(offered.number) + ", lower than the active "
                    + std::to_string(m_position.number) + ": restored from a backup?"));
        }
        return;
    }
    if (offered.number > m_position.number)
        updateTarget(from, offered, actions);
    else if (offered.hash != m_position.hash)
        reportRevisionConflict(from, offered, actions);
}

void config_replica::updateTarget(const config_source& from, const config_position& offered, replica_actions& actions)
{
    if (m_target && m_target->position.number > offered.number)
        return;
    if (m_target && m_target->position.number == offered.number) {
        if (m_target->position.hash != offered.hash) {
            reportRevisionConflict(from, offered, actions);
            return;
        }
        auto& sources = m_target->sources;
        if (std::find(sources.begin(), sources.end(), from) == sources.end())
            sources.push_back(from);
        return;
    }
    target next;
    next.position = offered;
    next.sources.push_back(from);
    if (m_target)
        next.fetched = std::move(m_target->fetched);
    m_target = std::move(next);
}

void config_replica::reportRevisionConflict(
    const config_source& from, const config_position& offered, replica_actions& actions)
{
    if (m_reported == offered)
        return;
    m_reported = offered;
    actions.emplace_back(fault(error_code::conflict, "config.adopt", from,
        "holds different content for revision " + std::to_string(offered.number) + "; rejected"));
}

replica_actions config_replica::onContent(const std::string& hash, const std::string& content, monotonic_time now)
{
    replica_actions actions;
    if (!m_target)
        return actions;
    if (contentHash(content) != hash) {
        actions.emplace_back(fault(error_code::invalid_input, "config.content", m_target->sources.front(),
            "content does not match hash " + hash));
        return actions;
    }
    m_target->outstanding.erase(hash);
    m_target->timeoutRounds = 0;
    if (hash == m_target->position.hash && !m_target->head)
        acceptHead(content, actions);
    else if (m_target->missing.count(hash) > 0)
        acceptChunk(hash, content, actions);
    advanceTarget(now, actions);
    return actions;
}

void config_replica::acceptHead(const std::string& value, replica_actions& actions)
{
    auto head = parseHead(value);
    if (!head || head->number != m_target->position.number) {
        actions.emplace_back(fault(error_code::invalid_input, "config.head", m_target->sources.front(),
            head ? "the head has a different revision" : head.error().detail));
        m_target.reset();
        return;
    }
    m_target->head = std::move(*head);
    m_target->headValue = value;
    m_target->outstanding.erase(m_target->position.hash);
    for (const auto& hash : hashesOf(*m_target->head)) {
        if (m_chunks.count(hash) == 0 && m_target->fetched.count(hash) == 0)
            m_target->missing.insert(hash);
    }
}

void config_replica::acceptChunk(const std::string& hash, const std::string& content, replica_actions& actions)
{
    auto objects = parseChunk(content, hash);
    if (!objects) {
        actions.emplace_back(report_fault { objects.error() });
        m_target.reset();
        return;
    }
    m_target->missing.erase(hash);
    m_target->fetched[hash] = chunk { content, std::make_shared<const configuration>(std::move(*objects)) };
}

replica_actions config_replica::onRequest(const config_source& from, const std::vector<std::string>& hashes)
{
    replica_actions actions;
    for (std::size_t i = 0; i < hashes.size() && i < m_settings.maxOutstandingChunks; ++i) {
        const auto known = m_chunks.find(hashes[i]);
        if (hashes[i] == m_position.hash)
            actions.emplace_back(send_content { from, chunk_reply { hashes[i], m_headValue } });
        else if (known != m_chunks.end())
            actions.emplace_back(send_content { from, chunk_reply { hashes[i], known->second.content } });
    }
    return actions;
}

replica_actions config_replica::onTick(monotonic_time now)
{
    replica_actions actions;
    gossip(now, actions);
    advanceTarget(now, actions);
    m_isReady |= m_current && now >= m_start + m_settings.startupPeriod && !m_target;
    return actions;
}

void config_replica::advanceTarget(monotonic_time now, replica_actions& actions)
{
    if (!m_target)
        return;
    if (m_target->head && m_target->missing.empty()) {
        adopt(actions);
        return;
    }
    dropExpiredFetches(now);
    if (m_target->timeoutRounds > m_settings.maxFetchRounds) {
        actions.emplace_back(fault(error_code::timeout, "config.fetch", m_target->sources.front(),
            "revision " + std::to_string(m_target->position.number) + " was offered but could not be fetched"));
        m_target.reset();
        return;
    }
    fetchMissing(now, actions);
}

void config_replica::dropExpiredFetches(monotonic_time now)
{
    const auto expired
        = std::erase_if(m_target->outstanding, [now](const auto& entry) { return entry.second.deadline <= now; });
    if (expired == 0)
        return;
    ++m_target->timeoutRounds;
    m_target->sources.push_back(m_target->sources.front());
    m_target->sources.pop_front();
}

void config_replica::fetchMissing(monotonic_time now, replica_actions& actions)
{
    const config_source& from = m_target->sources.front();
    const fetch started { now + m_settings.fetchTimeout };
    if (!m_target->head) {
        if (m_target->outstanding.emplace(m_target->position.hash, started).second)
            actions.emplace_back(fetch_head { from, m_target->position.hash });
        return;
    }
    std::vector<std::string> requested;
    for (const auto& hash : m_target->missing) {
        if (m_target->outstanding.size() >= m_settings.maxOutstandingChunks)
            break;
        if (m_target->outstanding.emplace(hash, started).second)
            requested.push_back(hash);
    }
    for (std::size_t i = 0; i < requested.size(); i += m_settings.chunksPerRequest) {
        const auto first = requested.begin() + static_cast<std::ptrdiff_t>(i);
        const auto last = requested.begin()
            + static_cast<std::ptrdiff_t>(std::min(i + m_settings.chunksPerRequest, requested.size()));
        actions.emplace_back(fetch_chunks { from, { first, last } });
    }
}

void config_replica::adopt(replica_actions& actions)
{
    target done = std::move(*m_target);
    m_target.reset();
    auto objects = std::make_shared<configuration>();
    std::map<std::string, chunk> chunks;
    for (const auto& hash : hashesOf(*done.head)) {
        const auto fetched = done.fetched.find(hash);
        chunk& part = chunks[hash];
        part = fetched != done.fetched.end() ? std::move(fetched->second) : std::move(m_chunks.at(hash));
        appendObjects(*objects, *part.objects);
    }
    sortObjects(*objects);
    objects->number = done.position.number;
    m_chunks = std::move(chunks);
    m_headValue = std::move(done.headValue);
    m_position = done.position;
    m_current = std::move(objects);
    actions.emplace_back(adopt_configuration { m_current, m_position });
    push(done.sources.front(), actions);
}

void config_replica::push(const config_source& origin, replica_actions& actions)
{
    if (isLocal(origin)) {
        offerToSome(m_peers.local, m_settings.localPushes, actions);
        return;
    }
    for (const auto& peer : m_peers.local)
        offerTo(peer, false, actions);
    offerToSome(m_peers.remote, m_settings.remotePushes, actions);
}

void config_replica::gossip(monotonic_time now, replica_actions& actions)
{
    if (now < m_nextGossip)
        return;
    m_nextGossip = now + (m_current ? m_settings.gossipInterval : m_settings.startGossipInterval);
    const bool isStarting = !m_current || now < m_start + m_settings.startupPeriod;
    for (const auto* peers : { &m_peers.local, &m_peers.remote, isStarting ? &m_peers.any : nullptr }) {
        if (peers && !peers->empty())
            offerTo((*peers)[m_pick(peers->size())], true, actions);
    }
}

bool config_replica::isLocal(const config_source& peer) const
{
    return std::find(m_peers.local.begin(), m_peers.local.end(), peer) != m_peers.local.end();
}

void config_replica::offerTo(const config_source& to, bool isReplyRequested, replica_actions& actions)
{
    actions.emplace_back(send_offer { to, config_offer { m_position, isReplyRequested } });
}

void config_replica::offerToSome(const std::vector<config_source>& peers, std::size_t count, replica_actions& actions)
{
    if (peers.empty())
        return;
    const std::size_t first = m_pick(peers.size());
    for (std::size_t i = 0; i < count && i < peers.size(); ++i)
        offerTo(peers[(first + i) % peers.size()], false, actions);
}

} // namespace flamingoroute
