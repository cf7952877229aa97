#include "flamingoroute/steering/slot_holder.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr std::size_t rememberedRequests = 64;

} // namespace

slot_holder::slot_holder(failure_domain_id domain, steering_identity self, steering_settings settings)
    : m_domain(std::move(domain))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_isLocal(m_self.failureDomain == m_domain)
{
}

void slot_holder::noteEpoch(std::uint64_t epoch)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_isAnswerDue = true;
    if (m_isLocal)
        return;
    for (auto& [name, held] : m_positions) // only slots of the own failure domain pass to the new allocator
        held.ceiling = 0;
}

void slot_holder::receive(const slot_grant& grant, monotonic_time now)
{
    const bool isNotice = grant.number == 0;
    const bool isForMe
        = grant.instance == m_self.instance.value() && (isNotice || grant.instanceIncarnation == m_self.ownIncarnation);
    if (!isForMe || grant.domain != m_domain.value() || grant.epoch < m_epoch)
        return;
    noteEpoch(grant.epoch);
    m_heardAt = now;
    const bool isOld = grant.epoch == m_heldEpoch && grant.number <= m_grantSeen;
    const auto sent = m_sentAt.find(grant.requestSeen);
    if (isNotice || isOld || sent == m_sentAt.end())
        return;
    m_reportInterval = milliseconds(grant.reportMs);
    m_heldEpoch = grant.epoch;
    m_grantSeen = grant.number;
    m_validUntil = sent->second + milliseconds(grant.lifeMs);
    if (grant.linkBytes > 0) {
        if (now >= m_linkBytesUntil)
            m_linkBytes = std::min(m_linkBytes, 0.0);
        m_linkBytes += static_cast<double>(grant.linkBytes);
        m_linkBytesUntil = now + m_settings.creditLife;
    }
    std::map<std::string, int> ceilings;
    for (const auto& granted : grant.ceilings)
        ceilings[granted.upstream] = granted.ceiling;
    for (auto& [name, held] : m_positions) {
        if (!ceilings.contains(name))
            ceilings[name] = 0;
    }
    for (const auto& [name, ceiling] : ceilings) {
        auto& held = m_positions[name];
        m_isAnswerDue = m_isAnswerDue || ceiling < held.ceiling;
        held.usedAt = ceiling > held.ceiling ? now : held.usedAt;
        held.ceiling = ceiling;
    }
}

void slot_holder::reportLeaving(const upstream_id& target)
{
    if (m_leaving.insert(target.value()).second)
        m_isAnswerDue = true;
}

bool slot_holder::isFree(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_positions.find(target.value());
    return found != m_positions.end() && isValid(now) && found->second.busy < found->second.ceiling;
}

void slot_holder::take(const upstream_id& target, monotonic_time now)
{
    auto& held = m_positions[target.value()];
    ++held.busy;
    held.usedAt = now;
}

void slot_holder::giveBack(const upstream_id& target, monotonic_time now)
{
    auto& held = m_positions[target.value()];
    --held.busy;
    held.usedAt = now;
}

int slot_holder::busy(const upstream_id& target) const
{
    const auto found = m_positions.find(target.value());
    return found == m_positions.end() ? 0 : found->second.busy;
}

int slot_holder::ceiling(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_positions.find(target.value());
    return found == m_positions.end() || !isValid(now) ? 0 : found->second.ceiling;
}

void slot_holder::want(const upstream_id& target, int slots, monotonic_time now)
{
    const auto found = m_positions.find(target.value());
    if (slots == 0 && found == m_positions.end())
        return;
    auto& held = found == m_positions.end() ? m_positions[target.value()] : found->second;
    if (slots > held.busy)
        held.usedAt = now;
    average(held, now);
    held.wanted = slots;
}

void slot_holder::average(position& held, monotonic_time now) const
{
    const std::chrono::duration<double> elapsed = now - held.meanAt;
    const std::chrono::duration<double> memory = m_settings.demandMemory;
    const double kept = std::exp(-(elapsed / memory));
    held.mean = held.wanted + kept * (held.mean - held.wanted);
    held.meanAt = now;
}

void slot_holder::lapse(monotonic_time now)
{
    if (isValid(now))
        return;
    for (auto& [name, held] : m_positions)
        held.ceiling = 0;
}

void slot_holder::returnIdle(monotonic_time now)
{
    const auto patience = m_isLocal ? m_settings.renewInterval : m_settings.idleReturn;
    for (auto& [name, held] : m_positions) {
        const int inUse = std::max(held.busy, held.wanted);
        if (held.ceiling > inUse && now - held.usedAt >= patience)
            held.ceiling = inUse;
    }
    std::erase_if(m_positions, [](const auto& item) {
        const position& held = item.second;
        return held.ceiling == 0 && held.busy == 0 && held.wanted == 0 && held.told == 0 && held.toldWanted == 0;
    });
}

bool slot_holder::isRequestDue(monotonic_time now) const
{
    if (m_isAnswerDue || m_requests == 0)
        return m_isAnswerDue || !m_positions.empty();
    bool isShort = false;
    bool isChanged = false;
    bool isHolding = false;
    bool hasFallen = false;
    for (const auto& [name, held] : m_positions) {
        isShort = isShort || held.wanted > held.ceiling;
        isChanged = isChanged || std::max(held.busy, held.ceiling) < held.told;
        isChanged = isChanged || (held.wanted > held.toldWanted && held.wanted > held.ceiling);
        isHolding = isHolding || held.ceiling > 0 || held.busy > 0 || held.told > 0;
        hasFallen = hasFallen || held.wanted < held.toldWanted;
    }
    const auto elapsed = now - m_askedAt;
    const bool isShortOfBytes = m_linkBytesWanted > 0 && !hasLinkBytes(now);
    const bool isReportDue = hasFallen && m_reportInterval.count() > 0 && elapsed >= m_reportInterval;
    const auto renewal = m_isLocal ? m_settings.renewInterval : m_settings.creditRenewInterval;
    return isChanged || isReportDue || (isShort && elapsed >= m_settings.retransmitInterval)
        || (isShortOfBytes && elapsed >= m_settings.linkAskInterval) || (isHolding && elapsed >= renewal);
}

std::optional<slot_request> slot_holder::takeRequest(milliseconds leastInterval, monotonic_time now)
{
    lapse(now);
    returnIdle(now);
    const bool isTooSoon = m_requests > 0 && now - m_askedAt < leastInterval;
    if (isTooSoon || !isRequestDue(now))
        return std::nullopt;
    slot_request request;
    request.domain = m_domain.value();
    request.instance = m_self.instance.value();
    request.instanceIncarnation = m_self.ownIncarnation;
    request.instanceRegion = m_self.region.value();
    request.isLocal = m_isLocal;
    request.number = ++m_requests;
    request.epoch = m_epoch;
    request.heldEpoch = m_heldEpoch;
    request.grantSeen = m_grantSeen;
    request.linkBytesWanted = m_linkBytesWanted;
    request.leaving.assign(m_leaving.begin(), m_leaving.end());
    for (auto& [name, held] : m_positions) {
        held.told = std::max(held.busy, held.ceiling);
        held.toldWanted = held.wanted;
        average(held, now);
        const int steady = static_cast<int>(std::lround(held.mean));
        if (held.told > 0 || held.wanted > 0)
            request.entries.push_back({ name, held.told, held.wanted, steady });
    }
    m_sentAt[m_requests] = now;
    if (m_sentAt.size() > rememberedRequests)
        m_sentAt.erase(m_sentAt.begin());
    m_askedAt = now;
    m_isAnswerDue = false;
    return request;
}

} // namespace flamingoroute
