#include "flamingoroute/steering/slot_holder.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr std::size_t maxTrackedRequests = 64;

} // namespace

slot_holder::slot_holder(failure_domain_id domain, steering_identity self, steering_settings settings)
    : m_domain(std::move(domain))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_isLocal(m_self.failureDomain == m_domain)
{
}

void slot_holder::advanceEpoch(std::uint64_t epoch)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_isUpdateDue = true;
    if (m_isLocal)
        return;
    for (auto& [name, held] : m_positions) // only slots of the own failure domain are handed over to the new allocator
        held.ceiling = 0;
}

void slot_holder::receive(const slot_grant& grant, monotonic_time now)
{
    const bool isNotice = grant.number == 0;
    const bool isForThisInstance = grant.instance == m_self.instance.value()
        && (isNotice || grant.instanceIncarnation == m_self.localIncarnation);
    if (!isForThisInstance || grant.domain != m_domain.value() || grant.epoch < m_epoch)
        return;
    advanceEpoch(grant.epoch);
    m_lastGrantAt = now;
    const bool isOld = grant.epoch == m_heldEpoch && grant.number <= m_lastReceivedGrant;
    const auto sent = m_sentAt.find(grant.lastReceivedRequest);
    if (isNotice || isOld || sent == m_sentAt.end())
        return;
    m_reportInterval = milliseconds(grant.reportMs);
    m_heldEpoch = grant.epoch;
    m_lastReceivedGrant = grant.number;
    m_validUntil = sent->second + milliseconds(grant.lifetimeMs);
    if (grant.linkBytes > 0) {
        if (now >= m_linkBytesUntil)
            m_linkBytes = std::min(m_linkBytes, 0.0);
        m_linkBytes += static_cast<double>(grant.linkBytes);
        m_linkBytesUntil = now + m_settings.creditLifetime;
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
        m_isUpdateDue = m_isUpdateDue || ceiling < held.ceiling;
        held.usedAt = ceiling > held.ceiling ? now : held.usedAt;
        held.ceiling = ceiling;
    }
}

void slot_holder::reportLeaving(const upstream_id& target)
{
    if (m_leaving.insert(target.value()).second)
        m_isUpdateDue = true;
}

bool slot_holder::hasFreeSlot(const upstream_id& target, monotonic_time now) const
{
    const auto found = m_positions.find(target.value());
    return found != m_positions.end() && isValid(now) && found->second.busy < found->second.ceiling;
}

void slot_holder::takeSlot(const upstream_id& target, monotonic_time now)
{
    auto& held = m_positions[target.value()];
    ++held.busy;
    held.usedAt = now;
}

void slot_holder::releaseSlot(const upstream_id& target, monotonic_time now)
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

void slot_holder::setDemand(const upstream_id& target, int slots, monotonic_time now)
{
    const auto found = m_positions.find(target.value());
    if (slots == 0 && found == m_positions.end())
        return;
    auto& held = found == m_positions.end() ? m_positions[target.value()] : found->second;
    if (slots > held.busy)
        held.usedAt = now;
    updateMean(held, now);
    held.demand = slots;
}

void slot_holder::updateMean(position& held, monotonic_time now) const
{
    const std::chrono::duration<double> elapsed = now - held.averagedAt;
    const std::chrono::duration<double> timeConstant = m_settings.demandAveragingTime;
    const double kept = std::exp(-(elapsed / timeConstant));
    held.averageDemand = held.demand + kept * (held.averageDemand - held.demand);
    held.averagedAt = now;
}

void slot_holder::expireGrants(monotonic_time now)
{
    if (isValid(now))
        return;
    for (auto& [name, held] : m_positions)
        held.ceiling = 0;
}

void slot_holder::returnIdleSlots(monotonic_time now)
{
    const auto idleTimeout = m_isLocal ? m_settings.renewInterval : m_settings.creditIdleTimeout;
    for (auto& [name, held] : m_positions) {
        const int inUse = std::max(held.busy, held.demand);
        if (held.ceiling > inUse && now - held.usedAt >= idleTimeout)
            held.ceiling = inUse;
    }
    std::erase_if(m_positions, [](const auto& item) {
        const position& held = item.second;
        return held.ceiling == 0 && held.busy == 0 && held.demand == 0 && held.reportedHeld == 0
            && held.reportedDemand == 0;
    });
}

bool slot_holder::isRequestDue(monotonic_time now) const
{
    if (m_isUpdateDue || m_requests == 0)
        return m_isUpdateDue || !m_positions.empty();
    bool isShort = false;
    bool isChanged = false;
    bool isHolding = false;
    bool hasFallen = false;
    for (const auto& [name, held] : m_positions) {
        isShort = isShort || held.demand > held.ceiling;
        isChanged = isChanged || std::max(held.busy, held.ceiling) < held.reportedHeld;
        isChanged = isChanged || (held.demand > held.reportedDemand && held.demand > held.ceiling);
        isHolding = isHolding || held.ceiling > 0 || held.busy > 0 || held.reportedHeld > 0;
        hasFallen = hasFallen || held.demand < held.reportedDemand;
    }
    const auto elapsed = now - m_lastRequestAt;
    const bool isShortOfBytes = m_linkBytesWanted > 0 && !hasLinkBytes(now);
    const bool isReportDue = hasFallen && m_reportInterval.count() > 0 && elapsed >= m_reportInterval;
    const auto renewal = m_isLocal ? m_settings.renewInterval : m_settings.creditRenewInterval;
    return isChanged || isReportDue || (isShort && elapsed >= m_settings.retransmitInterval)
        || (isShortOfBytes && elapsed >= m_settings.linkRequestInterval) || (isHolding && elapsed >= renewal);
}

std::optional<slot_request> slot_holder::takeRequest(milliseconds minInterval, monotonic_time now)
{
    expireGrants(now);
    returnIdleSlots(now);
    const bool isTooSoon = m_requests > 0 && now - m_lastRequestAt < minInterval;
    if (isTooSoon || !isRequestDue(now))
        return std::nullopt;
    slot_request request;
    request.domain = m_domain.value();
    request.instance = m_self.instance.value();
    request.instanceIncarnation = m_self.localIncarnation;
    request.instanceRegion = m_self.region.value();
    request.isLocal = m_isLocal;
    request.number = ++m_requests;
    request.epoch = m_epoch;
    request.heldEpoch = m_heldEpoch;
    request.lastReceivedGrant = m_lastReceivedGrant;
    request.linkBytesWanted = m_linkBytesWanted;
    request.leaving.assign(m_leaving.begin(), m_leaving.end());
    for (auto& [name, held] : m_positions) {
        held.reportedHeld = std::max(held.busy, held.ceiling);
        held.reportedDemand = held.demand;
        updateMean(held, now);
        const int averageDemand = static_cast<int>(std::lround(held.averageDemand));
        if (held.reportedHeld > 0 || held.demand > 0)
            request.entries.push_back({ name, held.reportedHeld, held.demand, averageDemand });
    }
    m_sentAt[m_requests] = now;
    if (m_sentAt.size() > maxTrackedRequests)
        m_sentAt.erase(m_sentAt.begin());
    m_lastRequestAt = now;
    m_isUpdateDue = false;
    return request;
}

} // namespace flamingoroute
