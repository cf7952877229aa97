#include "flamingoroute/steering/steering_core.hpp"

#include "flamingoroute/steering/internal/connection_subset.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr milliseconds defaultRetryAfter { 1000 };
constexpr double bytesPerMegabit = 125'000;
constexpr std::size_t probersPerUpstream = 2;

milliseconds maxDeadline(const configuration& current)
{
    milliseconds longest { 0 };
    for (const auto& service : current.services) {
        for (const auto& route : service.routes)
            longest = std::max(longest, route.deadline);
    }
    return longest;
}

} // namespace

steering_core::steering_core(steering_identity self, steering_settings settings, random_below random)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(std::move(random))
    , m_health(settings)
    , m_ledger(m_self.failureDomain, settings)
{
}

void steering_core::adopt(configuration_ptr current, monotonic_time now)
{
    m_current = std::move(current);
    m_health.adopt(*m_current, now);
    std::vector<upstream> own;
    for (const auto& target : m_current->upstreams) {
        holderOf(target.failureDomain);
        if (target.failureDomain == m_self.failureDomain)
            own.push_back(target);
    }
    m_ledger.adopt(std::move(own), maxDeadline(*m_current));
    updateLinkRates();
    updateVersions();
    setMembers(m_members);
    tick(now);
}

void steering_core::updateVersions()
{
    for (auto& [key, version] : m_versions)
        version.tiers.clear();
    for (const auto& target : m_current->upstreams) {
        const version_key key { target.service, target.version };
        auto& version = m_versions.try_emplace(key, m_settings).first->second;
        if (version.tiers.empty())
            version.tiers = localityTiers(*m_current, key.first, key.second, m_self.failureDomain, m_self.region);
    }
    for (auto& [key, version] : m_versions) {
        if (!version.tiers.empty())
            continue;
        for (const auto& request : version.queue.dropLate(monotonic_time::max()))
            refuse(
                request.ticket, refusal_reason::no_healthy_upstream, "no upstream of this version is configured", {});
    }
    std::erase_if(m_versions, [](const auto& item) { return item.second.tiers.empty(); });
}

/// Sets the own failure domain's even share of each link from other regions; its allocator grants the bytes.
void steering_core::updateLinkRates()
{
    const auto domains = std::count_if(m_current->failureDomains.begin(), m_current->failureDomains.end(),
        [&](const failure_domain& domain) { return domain.region == m_self.region; });
    for (const auto& regionEntry : m_current->regions) {
        const auto* link = findLink(*m_current, m_self.region, regionEntry.name);
        if (!link || regionEntry.name == m_self.region)
            continue;
        const double whole = link->megabitsPerSecond * bytesPerMegabit * m_settings.linkShare;
        m_ledger.setLink(regionEntry.name.value(), whole / static_cast<double>(std::max<std::ptrdiff_t>(1, domains)));
    }
}

void steering_core::setMembers(std::vector<member> members)
{
    m_members = std::move(members);
    m_connectable.clear();
    if (!m_current)
        return;
    for (const auto& target : m_current->upstreams) {
        if (mayConnect(m_self.instance, target, m_members, m_settings))
            m_connectable.insert(target.name);
    }
}

void steering_core::beginAllocating(const allocator_role& role, monotonic_time now)
{
    m_ledger.begin(role, m_self.instance, now);
    for (const auto& peer : m_members) {
        if (peer.failureDomain == m_self.failureDomain && peer.instance != m_self.instance)
            m_ledger.notifyOfEpoch(peer);
    }
    holderOf(m_self.failureDomain).advanceEpoch(role.epoch);
    tick(now);
}

void steering_core::endAllocating(monotonic_time now)
{
    m_endedEpoch = std::max(m_endedEpoch, m_ledger.epoch());
    m_ledger.end();
    tick(now);
}

void steering_core::updateAllocator(const instance_id& holder, std::uint64_t epoch, monotonic_time now)
{
    auto& own = holderOf(m_self.failureDomain);
    if (epoch < own.epoch() || holder == m_self.instance)
        return;
    if (m_ledger.isActive() && epoch > m_ledger.epoch())
        endAllocating(now);
    m_allocators[m_self.failureDomain] = holder;
    own.advanceEpoch(epoch);
}

void steering_core::confirmTerminated(const instance_id& instance, incarnation liveIncarnation, monotonic_time now)
{
    m_ledger.confirmTerminated(instance, liveIncarnation, now);
}

slot_holder& steering_core::holderOf(const failure_domain_id& domain)
{
    return m_holders.try_emplace(domain, domain, m_self, m_settings).first->second;
}

void steering_core::refuse(
    std::uint64_t ticket, refusal_reason reason, const std::string& detail, milliseconds retryAfter)
{
    refusal result;
    result.reason = reason;
    result.step = "steering.acquire";
    result.detail = detail;
    result.retryAfter = retryAfter;
    m_decided.push_back({ ticket, tl::unexpected(result) });
}

int steering_core::weightOf(const customer_id& customer) const
{
    for (const auto& entry : m_current->customers) {
        if (entry.name == customer)
            return entry.weight;
    }
    return 1;
}

bool steering_core::isUsable(const upstream& target, const std::vector<upstream_id>& tried, monotonic_time now) const
{
    return !m_health.isLeaving(target.name, now) && m_connectable.contains(target.name)
        && std::find(tried.begin(), tried.end(), target.name) == tried.end();
}

void steering_core::enqueue(std::uint64_t ticket, const upstream_requirements& requirements, monotonic_time now)
{
    if (!m_current)
        return refuse(ticket, refusal_reason::not_ready, "no configuration is active yet", {});
    const auto found = m_versions.find({ requirements.service, requirements.version });
    bool isAnyUsable = false;
    if (found != m_versions.end()) {
        for (const auto& tier : found->second.tiers) {
            isAnyUsable = isAnyUsable
                || std::any_of(tier.upstreams.begin(), tier.upstreams.end(),
                    [&](const auto* target) { return isUsable(*target, requirements.tried, now); });
        }
    }
    if (!isAnyUsable)
        return refuse(
            ticket, refusal_reason::no_healthy_upstream, "no usable upstream for this request", defaultRetryAfter);
    auto& version = found->second;
    const int weight = weightOf(requirements.customer);
    if (wouldMissDeadline(version, requirements, weight, now))
        return refuse(
            ticket, refusal_reason::no_capacity, "the request would wait past its deadline", defaultRetryAfter);
    if (!version.queue.push({ ticket, requirements, now }, weight))
        return refuse(ticket, refusal_reason::no_capacity, "the queue is full", defaultRetryAfter);
    dispatch(version, now);
    if (version.queue.size() > 0) {
        updateDemand(version, now);
        sendSlotMessages(now);
        dispatch(version, now);
    }
}

bool steering_core::cancel(std::uint64_t ticket)
{
    return std::any_of(
        m_versions.begin(), m_versions.end(), [ticket](auto& item) { return item.second.queue.remove(ticket); });
}

/// @return whether, by the running averages, the request would wait past its deadline
bool steering_core::wouldMissDeadline(
    const version_state& version, const upstream_requirements& requirements, int weight, monotonic_time now)
{
    if (version.serviceMs == 0 || version.queue.size() == 0)
        return requirements.deadline <= now;
    int slots = 0;
    for (const auto& tier : version.tiers) {
        for (const auto* target : tier.upstreams)
            slots += std::max(holderOf(target->failureDomain).ceiling(target->name, now), 0);
    }
    if (slots == 0)
        return requirements.deadline <= now;
    const auto ahead
        = static_cast<double>(version.queue.countAhead(requirements.customer, requirements.requestClass, weight));
    const std::chrono::duration<double, std::milli> wait(ahead * version.serviceMs / slots);
    return now + std::chrono::duration_cast<microseconds>(wait) > requirements.deadline;
}

bool steering_core::canStartAt(
    const locality_tier& tier, const upstream& target, const upstream_requirements& requirements, monotonic_time now)
{
    auto& holder = holderOf(target.failureDomain);
    if (!holder.hasFreeSlot(target.name, now) || !isUsable(target, requirements.tried, now)
        || m_health.isEjected(target.name, now))
        return false;
    if (tier.isOtherRegion && !holder.hasLinkBytes(now))
        return false;
    const double allowedSlots = std::ceil(target.slots * m_health.slowStartFactor(target.name, now));
    return holder.busy(target.name) < allowedSlots;
}

double steering_core::score(const upstream& target, monotonic_time now)
{
    const double inFlight = holderOf(target.failureDomain).busy(target.name) + 1.0;
    const double occupied = inFlight / target.slots + m_health.load(target.name, now);
    return occupied / m_health.slowStartFactor(target.name, now);
}

std::pair<const upstream*, const locality_tier*> steering_core::choose(
    const version_state& version, const upstream_requirements& requirements, monotonic_time now)
{
    for (const auto& tier : version.tiers) {
        std::vector<const upstream*> free;
        for (const auto* target : tier.upstreams) {
            if (canStartAt(tier, *target, requirements, now))
                free.push_back(target);
        }
        if (free.empty())
            continue;
        const auto* first = free[m_random(free.size())];
        const auto* second = free[m_random(free.size())];
        return { score(*second, now) < score(*first, now) ? second : first, &tier };
    }
    return { nullptr, nullptr };
}

void steering_core::start(const waiting_request& request, version_state& version, const upstream& target,
    const locality_tier& tier, monotonic_time now)
{
    running_request running;
    running.target = &target;
    running.source = m_current;
    running.version = { request.requirements.service, request.requirements.version };
    running.kind = request.requirements.requestClass;
    running.deadline = request.requirements.deadline;
    running.requestBytes = static_cast<double>(request.requirements.requestBytes);
    running.linkBytes = tier.isOtherRegion ? version.bytesOf(request.requirements) : 0;
    auto& holder = holderOf(target.failureDomain);
    holder.takeSlot(target.name, now);
    holder.spendLinkBytes(running.linkBytes);
    m_running.emplace(++m_lastSlot, running);
    m_decided.push_back({ request.ticket, chosen_upstream { target, m_lastSlot } });
}

void steering_core::dispatch(version_state& version, monotonic_time now)
{
    while (version.queue.size() > 0) {
        std::pair<const upstream*, const locality_tier*> chosen;
        const auto request = version.queue.popFirst([&](const waiting_request& candidate) {
            chosen = choose(version, candidate.requirements, now);
            return chosen.first != nullptr;
        });
        if (!request)
            return;
        start(*request, version, *chosen.first, *chosen.second, now);
    }
}

void steering_core::release(const chosen_upstream& chosen, const attempt_result& result, monotonic_time now)
{
    const auto found = m_running.find(chosen.slotTicket);
    if (found == m_running.end())
        return;
    const auto running = found->second;
    m_running.erase(found);
    const auto& target = *running.target;
    auto& holder = holderOf(target.failureDomain);
    if (result.outcome == attempt_outcome::unknown && now < running.deadline)
        m_lingering.push_back({ target.failureDomain, target.name, running.deadline });
    else
        holder.releaseSlot(target.name, now);
    m_health.recordResult(target.name, result, now);
    if (result.isUpstreamLeaving)
        reportLeavingUpstreams(now);
    const double bytes = running.requestBytes + static_cast<double>(result.answer.body.size());
    if (running.linkBytes > 0)
        holder.spendLinkBytes(bytes - running.linkBytes);
    const auto version = m_versions.find(running.version);
    if (version == m_versions.end())
        return;
    if (result.outcome == attempt_outcome::answered) {
        const double tookMs = std::chrono::duration<double, std::milli>(result.duration).count();
        version->second.recordAnswer(running.kind, tookMs, static_cast<double>(result.answer.body.size()));
    }
    dispatch(version->second, now);
}

void steering_core::recordProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now)
{
    m_health.recordProbe(target, answer, now);
    if (answer.isLeaving)
        reportLeavingUpstreams(now);
}

/// Reports to the allocators which upstreams reported that they are leaving.
void steering_core::reportLeavingUpstreams(monotonic_time now)
{
    for (const auto& target : m_current->upstreams) {
        auto& holder = holderOf(target.failureDomain);
        const bool isReportedByUpstream = m_health.isLeavingByOwnReport(target.name, now);
        if (isReportedByUpstream)
            holder.reportLeaving(target.name);
        else
            holder.stopReportingLeaving(target.name);
    }
    sendSlotMessages(now);
}

void steering_core::releaseLingeringSlots(monotonic_time now)
{
    for (const auto& slot : m_lingering) {
        if (slot.until <= now)
            holderOf(slot.domain).releaseSlot(slot.target, now);
    }
    std::erase_if(m_lingering, [now](const lingering_slot& slot) { return slot.until <= now; });
}

void steering_core::tick(monotonic_time now)
{
    if (!m_current)
        return;
    releaseLingeringSlots(now);
    for (auto& [domain, holder] : m_holders)
        holder.resetLinkBytesDemand();
    for (auto& [key, version] : m_versions) {
        // 500 converts ms to us and halves: drop a request when less than half the average service time is left; half
        // may suffice.
        const auto service = microseconds(static_cast<std::int64_t>(version.serviceMs * 500));
        for (const auto& request : version.queue.dropLate(now + service))
            refuse(request.ticket, refusal_reason::no_capacity, "no slot became free in time", defaultRetryAfter);
        dispatch(version, now);
        updateDemand(version, now);
    }
    reportLeavingUpstreams(now);
    for (auto& [key, version] : m_versions)
        dispatch(version, now);
}

std::vector<upstream> steering_core::upstreamsToProbe() const
{
    std::vector<upstream> result;
    if (!m_current)
        return result;
    for (const auto& target : m_current->upstreams) {
        if (target.failureDomain != m_self.failureDomain || target.isLeaving)
            continue;
        const auto salt = hash64(target.name.value());
        const auto ownScore = mix64(salt ^ hash64(m_self.instance.value()));
        const auto before = std::count_if(m_members.begin(), m_members.end(), [&](const member& peer) {
            return peer.failureDomain == m_self.failureDomain && peer.instance != m_self.instance
                && mix64(salt ^ hash64(peer.instance.value())) > ownScore;
        });
        if (static_cast<std::size_t>(before) < probersPerUpstream)
            result.push_back(target);
    }
    return result;
}

} // namespace flamingoroute
