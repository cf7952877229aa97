#include "flamingoroute/peers/membership.hpp"

#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace flamingoroute {

namespace {

constexpr std::size_t maxPlatformAnswerEntries = 4;
constexpr std::size_t millisecondsPerSecond = 1000;

template <typename Time> void setIfLater(std::optional<Time>& latest, Time time)
{
    if (!latest || *latest < time)
        latest = time;
}

} // namespace

membership::membership(
    member self, process_role role, incarnation localIncarnation, membership_settings settings, random_pick pick)
    : m_self(std::move(self))
    , m_role(role)
    , m_localIncarnation(localIncarnation)
    , m_settings(settings)
    , m_pick(std::move(pick))
{
}

void membership::addSeeds(const std::vector<member>& seeds)
{
    for (const auto& seed : seeds) {
        if (seed.instance == m_self.instance)
            continue;
        auto& existing = m_members[seed.instance];
        existing.memberInfo = seed;
        existing.isSeed = true;
    }
}

void membership::setLocalState(revision activeRevision, bool isLeaving, std::optional<milliseconds> platformAge)
{
    m_revision = activeRevision;
    m_isLeaving = isLeaving;
    m_platformAge = platformAge;
}

std::vector<heartbeat_message> membership::onHeartbeat(
    const instance_id& from, process_role role, incarnation fromIncarnation, const heartbeat& body, monotonic_time now)
{
    std::vector<heartbeat_message> messages;
    std::vector<member_record> changed;
    for (const auto& record : body.records) {
        if (applyRecord(record, record.instance == from.value(), now))
            changed.push_back(record);
    }
    const auto found = m_members.find(from);
    if (body.platformAgeMs != heartbeat::unknownAge) {
        auto& lastAnswerAt = m_lastPlatformAnswers[body.configRevision];
        lastAnswerAt = std::max(lastAnswerAt, now - milliseconds(body.platformAgeMs));
        if (m_lastPlatformAnswers.size() > maxPlatformAnswerEntries)
            m_lastPlatformAnswers.erase(m_lastPlatformAnswers.begin());
    }
    if (found == m_members.end()) {
        heartbeat recordsRequest = localHeartbeat();
        recordsRequest.isRecordsRequested = from != m_self.instance;
        recordsRequest.records = { localRecord() };
        if (recordsRequest.isRecordsRequested)
            messages.push_back({ from, role, recordsRequest });
        return messages;
    }
    auto& existing = found->second;
    const bool isRemote = existing.memberInfo.failureDomain != m_self.failureDomain;
    existing.interval = milliseconds(body.intervalMs);
    existing.unlistedSince.reset();
    if (role == process_role::entry && fromIncarnation >= existing.entryIncarnation) {
        setIfLater(existing.entryLastSeenAt, now);
        existing.entryIncarnation = fromIncarnation;
        existing.entryRevision = body.configRevision;
        existing.isLeaving = body.isLeaving;
        existing.isGone = false;
    } else if (role == process_role::control) {
        setIfLater(existing.controlLastSeenAt, now);
    }
    if (body.isRecordsRequested)
        appendRecordMessages(from, role, records(false, now), messages);
    relay(changed, isRemote, messages);
    return messages;
}

bool membership::applyRecord(const member_record& record, bool isFromSubject, monotonic_time now)
{
    const auto memberInfo = memberOf(record);
    if (!memberInfo || memberInfo->instance == m_self.instance)
        return false;
    const bool isNew = m_members.count(memberInfo->instance) == 0;
    auto& existing = m_members[memberInfo->instance];
    const bool isNewer = record.entryIncarnation > existing.entryIncarnation;
    if (!existing.isSeed && (isNew || isNewer))
        existing.memberInfo = *memberInfo;
    const bool isDirectlySeen = existing.entryLastSeenAt && isDirect(existing);
    if (isFromSubject || record.entryIncarnation < existing.entryIncarnation || (isDirectlySeen && !isNewer))
        return isNew;
    const auto state = static_cast<member_state>(record.state);
    const bool isChanged = isNew || isNewer || existing.isLeaving != (state == member_state::leaving)
        || existing.isGone != (state == member_state::gone);
    existing.entryIncarnation = record.entryIncarnation;
    existing.entryRevision = std::max(existing.entryRevision, record.entryRevision);
    existing.isLeaving = state == member_state::leaving;
    existing.isGone = state == member_state::gone;
    if (state == member_state::live && !isDirect(existing))
        setIfLater(existing.entryLastSeenAt, now);
    return isChanged;
}

void membership::relay(
    const std::vector<member_record>& changed, bool isFromRemote, std::vector<heartbeat_message>& messages)
{
    if (changed.empty() || directCount() == m_members.size())
        return;
    const auto local = localPeers();
    const std::size_t count = isFromRemote ? local.size() : std::min(m_settings.relayFanout, local.size());
    const std::size_t first = local.empty() ? 0 : m_pick(local.size());
    for (std::size_t i = 0; i < count; ++i)
        appendRecordMessages(local[(first + i) % local.size()], m_role, changed, messages);
}

void membership::onPlatformList(const std::vector<platform_instance>& listed, monotonic_time now)
{
    std::set<instance_id> names;
    for (const auto& listedInstance : listed)
        names.insert(listedInstance.instance);
    for (auto& [name, existing] : m_members) {
        if (names.count(name) > 0)
            existing.unlistedSince.reset();
        else if (!existing.unlistedSince)
            existing.unlistedSince = now;
    }
}

std::vector<heartbeat_message> membership::onTick(monotonic_time now)
{
    std::vector<heartbeat_message> messages;
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + interval();
        sendHeartbeats(messages);
        evictGone(now);
    }
    if (directCount() == m_members.size())
        return messages;
    if (now >= m_nextDigest && isBridge(now)) {
        m_nextDigest = now + m_settings.digestInterval;
        sendDigest(now, messages);
    }
    if (now >= m_nextRecords) {
        m_nextRecords = now + m_settings.recordInterval;
        sendRecordSample(now, messages);
    }
    return messages;
}

milliseconds membership::interval() const
{
    const std::size_t perPeer = m_role == process_role::entry ? 2 : 1;
    const std::size_t bytes = directCount() * perPeer * m_settings.heartbeatBytes;
    const milliseconds affordable(bytes * millisecondsPerSecond / m_settings.bytesPerSecond);
    return std::max(m_settings.minInterval, affordable);
}

bool membership::isDirect(const known_member& existing) const
{
    return existing.memberInfo.failureDomain == m_self.failureDomain
        || m_members.size() < m_settings.maxFullMeshInstances;
}

std::size_t membership::directCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(), [this](const auto& entry) { return isDirect(entry.second); }));
}

heartbeat membership::localHeartbeat() const
{
    heartbeat body;
    body.configRevision = m_revision;
    body.intervalMs = static_cast<std::uint32_t>(interval().count());
    body.isLeaving = m_isLeaving;
    if (m_platformAge)
        body.platformAgeMs = static_cast<std::uint32_t>(m_platformAge->count());
    return body;
}

member_record membership::localRecord() const
{
    auto record = recordOf(m_self);
    const bool isEntry = m_role == process_role::entry;
    record.entryIncarnation = isEntry ? m_localIncarnation : 0;
    record.entryRevision = isEntry ? m_revision : 0;
    record.state = static_cast<std::uint8_t>(m_isLeaving ? member_state::leaving : member_state::live);
    return record;
}

member_record membership::recordOfKnown(const known_member& existing, monotonic_time now) const
{
    auto record = recordOf(existing.memberInfo);
    record.entryIncarnation = existing.entryIncarnation;
    record.entryRevision = existing.entryRevision;
    record.state = static_cast<std::uint8_t>(stateOf(existing, now));
    return record;
}

std::vector<member_record> membership::records(bool isLocalDomainOnly, monotonic_time now) const
{
    std::vector<member_record> result { localRecord() };
    for (const auto& [name, existing] : m_members) {
        if (!isLocalDomainOnly || existing.memberInfo.failureDomain == m_self.failureDomain)
            result.push_back(recordOfKnown(existing, now));
    }
    return result;
}

void membership::appendRecordMessages(const instance_id& to, process_role role, const std::vector<member_record>& all,
    std::vector<heartbeat_message>& messages) const
{
    for (std::size_t i = 0; i < all.size(); i += m_settings.recordsPerMessage) {
        heartbeat body = localHeartbeat();
        const auto last = std::min(i + m_settings.recordsPerMessage, all.size());
        body.records.assign(
            all.begin() + static_cast<std::ptrdiff_t>(i), all.begin() + static_cast<std::ptrdiff_t>(last));
        messages.push_back({ to, role, std::move(body) });
    }
}

void membership::sendHeartbeats(std::vector<heartbeat_message>& messages)
{
    heartbeat body = localHeartbeat();
    if (m_localRecordSendsLeft > 0) {
        --m_localRecordSendsLeft;
        body.records = { localRecord() };
    }
    const auto other = m_role == process_role::entry ? process_role::control : process_role::entry;
    messages.push_back({ m_self.instance, other, body });
    for (const auto& [name, existing] : m_members) {
        if (!isDirect(existing) || existing.isGone)
            continue;
        messages.push_back({ name, m_role, body });
        if (m_role == process_role::entry)
            messages.push_back({ name, other, body });
    }
}

void membership::sendDigest(monotonic_time now, std::vector<heartbeat_message>& messages)
{
    const auto bridges = remoteBridges(now);
    if (!bridges.empty())
        appendRecordMessages(bridges[m_pick(bridges.size())], m_role, records(true, now), messages);
}

void membership::sendRecordSample(monotonic_time now, std::vector<heartbeat_message>& messages)
{
    const auto local = localPeers();
    const auto all = records(false, now);
    if (local.empty())
        return;
    std::vector<member_record> sample;
    const std::size_t first = m_pick(all.size());
    for (std::size_t i = 0; i < std::min(m_settings.recordsPerMessage, all.size()); ++i)
        sample.push_back(all[(first + i) % all.size()]);
    appendRecordMessages(local[m_pick(local.size())], m_role, sample, messages);
}

member_state membership::stateOf(const known_member& existing, monotonic_time now) const
{
    if (existing.isGone)
        return member_state::gone;
    const auto timeout = isDirect(existing)
        ? existing.interval * m_settings.suspectIntervals + m_settings.suspectGrace
        : m_settings.digestInterval * static_cast<int>(m_members.size()) + m_settings.suspectGrace;
    const bool isUnresponsive = !existing.entryLastSeenAt || now > *existing.entryLastSeenAt + timeout;
    if (isUnresponsive && existing.unlistedSince && now > *existing.unlistedSince + m_settings.goneTimeout)
        return member_state::gone;
    if (existing.isLeaving)
        return isUnresponsive ? member_state::gone : member_state::leaving;
    return isUnresponsive ? member_state::suspect : member_state::live;
}

void membership::evictGone(monotonic_time now)
{
    std::erase_if(m_members, [&](const auto& entry) {
        const auto& lastSeenAt = entry.second.entryLastSeenAt;
        return lastSeenAt && now > *lastSeenAt + m_settings.goneRetention
            && stateOf(entry.second, now) == member_state::gone;
    });
}

std::vector<member_status> membership::members(monotonic_time now) const
{
    std::vector<member_status> result;
    result.push_back({ m_self, m_isLeaving ? member_state::leaving : member_state::live,
        m_role == process_role::entry ? m_localIncarnation : 0, m_revision });
    for (const auto& [name, existing] : m_members)
        result.push_back(
            { existing.memberInfo, stateOf(existing, now), existing.entryIncarnation, existing.entryRevision });
    std::sort(result.begin(), result.end(), [](const member_status& left, const member_status& right) {
        return left.memberInfo.instance < right.memberInfo.instance;
    });
    return result;
}

std::vector<instance_id> membership::localPeers() const
{
    std::vector<instance_id> result;
    for (const auto& [name, existing] : m_members) {
        if (existing.memberInfo.failureDomain == m_self.failureDomain && !existing.isGone)
            result.push_back(name);
    }
    return result;
}

std::vector<instance_id> membership::bridgesOf(const failure_domain_id& domain, monotonic_time now) const
{
    std::vector<instance_id> candidates;
    if (domain == m_self.failureDomain)
        candidates.push_back(m_self.instance);
    for (const auto& [name, existing] : m_members) {
        const bool isInDomain = existing.memberInfo.failureDomain == domain;
        const auto state = stateOf(existing, now);
        const bool isEligible
            = state == member_state::live || (state == member_state::suspect && !existing.entryLastSeenAt);
        if (isInDomain && isEligible)
            candidates.push_back(name);
    }
    return pickByRendezvous("bridge", candidates, m_settings.bridges);
}

bool membership::isBridge(monotonic_time now) const
{
    const auto bridges = bridgesOf(m_self.failureDomain, now);
    return std::find(bridges.begin(), bridges.end(), m_self.instance) != bridges.end();
}

std::vector<instance_id> membership::remoteBridges(monotonic_time now) const
{
    std::set<failure_domain_id> domains;
    for (const auto& [name, existing] : m_members)
        domains.insert(existing.memberInfo.failureDomain);
    domains.erase(m_self.failureDomain);
    std::vector<instance_id> result;
    for (const auto& domain : domains) {
        const auto bridges = bridgesOf(domain, now);
        result.insert(result.end(), bridges.begin(), bridges.end());
    }
    return result;
}

std::optional<monotonic_time> membership::lastPlatformAnswerAt(revision activeRevision) const
{
    const auto found = m_lastPlatformAnswers.find(activeRevision);
    return found == m_lastPlatformAnswers.end() ? std::nullopt : std::optional(found->second);
}

} // namespace flamingoroute
