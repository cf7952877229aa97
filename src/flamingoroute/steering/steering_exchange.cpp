#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"
#include "flamingoroute/steering/steering_core.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

void steering_core::updateDemand(version_state& version, monotonic_time now)
{
    const auto oldest = version.queue.oldest();
    const auto waited = oldest ? now - *oldest : microseconds { 0 };
    bool isNearerUsable = false;
    for (const auto& tier : version.tiers) {
        const bool isOpen = oldest && (!isNearerUsable || waited >= tier.distance);
        setDemandInTier(version, tier, isOpen ? version.queue.size() : 0, now);
        isNearerUsable
            = isNearerUsable || std::any_of(tier.upstreams.begin(), tier.upstreams.end(), [&](const auto* target) {
                  return isUsable(*target, {}, now) && !m_health.isEjected(target->name, now);
              });
    }
}

/// Demands as many slots as requests wait, spread over the upstreams from a start index that differs between
/// instances and rotates, so that an upstream without free slots does not block a request.
void steering_core::setDemandInTier(
    const version_state& version, const locality_tier& tier, std::size_t waiting, monotonic_time now)
{
    std::vector<const upstream*> usable;
    for (const auto* target : tier.upstreams) {
        if (isUsable(*target, {}, now) && !m_health.isEjected(target->name, now))
            usable.push_back(target);
        else
            holderOf(target->failureDomain)
                .setDemand(target->name, holderOf(target->failureDomain).busy(target->name), now);
    }
    if (usable.empty())
        return;
    const auto bytesEach = std::max(version.answerBytes[0], version.answerBytes[1]);
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / m_settings.demandRotation);
    const auto first = (hash64(m_self.instance.value()) + turn) % usable.size();
    for (std::size_t step = 0; step < usable.size(); ++step) {
        const auto* target = usable[(first + step) % usable.size()];
        auto& holder = holderOf(target->failureDomain);
        const auto part = waiting / usable.size() + (step < waiting % usable.size() ? 1 : 0);
        holder.setDemand(
            target->name, std::min(target->slots, holder.busy(target->name) + static_cast<int>(part)), now);
        if (tier.isOtherRegion)
            holder.raiseLinkBytesDemand(static_cast<std::uint64_t>(bytesEach * static_cast<double>(waiting)));
    }
}

/// Sends the requests and grants that are due; those to this instance itself are processed at once.
void steering_core::sendSlotMessages(monotonic_time now)
{
    for (const auto& target : m_current->upstreams) {
        if (m_ledger.isActive() && target.failureDomain == m_self.failureDomain)
            updateAvailability(target, now);
    }
    for (auto& [domain, holder] : m_holders) {
        const auto allocator = allocatorOf(domain, now);
        const bool isSelf = allocator == m_self.instance;
        if (allocator.empty())
            continue;
        if (auto request = holder.takeRequest(isSelf ? milliseconds { 0 } : m_settings.requestInterval, now))
            sendRequest(domain, *request, now);
    }
    sendGrants(now);
}

void steering_core::updateAvailability(const upstream& target, monotonic_time now)
{
    const bool isLeaving = m_health.isLeaving(target.name, now);
    m_ledger.close(target.name, isLeaving || m_health.isEjected(target.name, now), isLeaving);
}

instance_id steering_core::allocatorOf(const failure_domain_id& domain, monotonic_time now)
{
    if (domain == m_self.failureDomain && m_ledger.isActive())
        return m_self.instance;
    auto& holder = holderOf(domain);
    const auto known = m_allocators.find(domain);
    const bool isUnresponsive = holder.isWaiting() && now - holder.lastGrantAt() > 2 * m_settings.renewInterval;
    if (known != m_allocators.end() && !isUnresponsive)
        return known->second;
    std::vector<instance_id> candidates;
    for (const auto& peer : m_members) {
        if (peer.failureDomain == domain && peer.instance != m_self.instance)
            candidates.push_back(peer.instance);
    }
    if (candidates.empty())
        return {};
    return candidates[m_requestsRouted % candidates.size()];
}

void steering_core::sendRequest(const failure_domain_id& domain, const slot_request& request, monotonic_time now)
{
    auto sent = request;
    if (domain == m_self.failureDomain)
        sent.endedEpoch = m_endedEpoch;
    const auto to = allocatorOf(domain, now);
    ++m_requestsRouted;
    if (to == m_self.instance)
        m_ledger.receive(sent, now);
    else
        m_messages.push_back({ to, message_kind::slot_request, packMessage(sent) });
}

void steering_core::sendGrants(monotonic_time now)
{
    for (const auto& grant : m_ledger.takeGrants(now)) {
        if (grant.instance == m_self.instance.value())
            receiveGrant(m_self.instance, grant, now);
        else
            m_messages.push_back({ instance_id(grant.instance), message_kind::slot_grant, packMessage(grant) });
    }
}

void steering_core::receive(const instance_id& from, message_kind kind, const std::string& body, monotonic_time now)
{
    if (!m_current)
        return;
    if (kind == message_kind::slot_request) {
        if (auto request = unpackMessage<slot_request>(body))
            receiveRequest(std::move(*request), now);
    } else if (kind == message_kind::slot_grant) {
        if (const auto grant = unpackMessage<slot_grant>(body))
            receiveGrant(from, *grant, now);
    }
    for (auto& [key, version] : m_versions)
        dispatch(version, now);
    sendSlotMessages(now);
}

void steering_core::receiveRequest(slot_request request, monotonic_time now)
{
    if (request.domain != m_self.failureDomain.value())
        return;
    for (const auto& name : request.leaving)
        m_health.recordLeavingReportedByPeer(upstream_id(name), now);
    if (m_ledger.isActive()) {
        const auto before = m_ledger.epoch();
        m_ledger.receive(request, now);
        if (!m_ledger.isActive()) {
            m_endedEpoch = std::max(m_endedEpoch, before);
            holderOf(m_self.failureDomain).advanceEpoch(request.epoch);
        }
        return;
    }
    const auto known = m_allocators.find(m_self.failureDomain);
    if (request.isForwarded || known == m_allocators.end())
        return;
    request.isForwarded = true;
    m_messages.push_back({ known->second, message_kind::slot_request, packMessage(request) });
}

void steering_core::receiveGrant(const instance_id& from, const slot_grant& grant, monotonic_time now)
{
    const failure_domain_id domain(grant.domain);
    const auto found = m_holders.find(domain);
    if (found == m_holders.end() || grant.epoch < found->second.epoch())
        return;
    if (domain == m_self.failureDomain && grant.epoch > m_ledger.epoch() && m_ledger.isActive()) {
        m_endedEpoch = std::max(m_endedEpoch, m_ledger.epoch());
        m_ledger.end();
    }
    m_allocators[domain] = from;
    found->second.receive(grant, now);
    if (from == m_self.instance)
        return; // otherwise this instance's own report would renew itself forever
    for (const auto& name : grant.leaving)
        m_health.recordLeavingReportedByPeer(upstream_id(name), now);
}

} // namespace flamingoroute
