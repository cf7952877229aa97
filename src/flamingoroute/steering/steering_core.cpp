#include "flamingoroute/steering/steering_core.hpp"

#include "flamingoroute/steering/internal/connection_subset.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoroute {

namespace {

constexpr milliseconds shortestRetryAfter { 1000 };
constexpr double bytesPerMegabit = 125'000;
constexpr std::size_t probersPerUpstream = 2;

milliseconds longestDeadline(const configuration& current)
{
    milliseconds longest { 0 };
    for (const auto& wanted : current.services) {
        for (const auto& way : wanted.routes)
            longest = std::max(longest, way.deadline);
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
    m_ledger.adopt(std::move(own), longestDeadline(*m_current));
    addLinks();
    addSets();
    setMembers(m_members);
    tick(now);
}

void steering_core::addSets()
{
    for (auto& [key, set] : m_sets)
        set.rings.clear();
    for (const auto& target : m_current->upstreams) {
        const set_key key { target.service, target.version };
        auto& set = m_sets.try_emplace(key, m_settings).first->second;
        if (set.rings.empty())
            set.rings = ringsOf(*m_current, key.first, key.second, m_self.failureDomain, m_self.region);
    }
    for (auto& [key, set] : m_sets) {
        if (!set.rings.empty())
            continue;
        for (const auto& request : set.queue.dropLate(monotonic_time::max()))
            refuse(request.ticket, refusal_reason::no_healthy_upstream, "the version was withdrawn", {});
    }
    std::erase_if(m_sets, [](const auto& item) { return item.second.rings.empty(); });
}

/// Divides each link to the own region evenly among the failure domains of the region, whose allocators grant it.
void steering_core::addLinks()
{
    const auto domains = std::count_if(m_current->failureDomains.begin(), m_current->failureDomains.end(),
        [&](const failure_domain& domain) { return domain.region == m_self.region; });
    for (const auto& place : m_current->regions) {
        const auto* link = findLink(*m_current, m_self.region, place.name);
        if (!link || place.name == m_self.region)
            continue;
        const double whole = link->megabitsPerSecond * bytesPerMegabit * m_settings.linkShare;
        m_ledger.setLink(place.name.value(), whole / static_cast<double>(std::max<std::ptrdiff_t>(1, domains)));
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
    for (const auto& who : m_members) {
        if (who.failureDomain == m_self.failureDomain && who.instance != m_self.instance)
            m_ledger.announce(who);
    }
    holderOf(m_self.failureDomain).noteEpoch(role.epoch);
    tick(now);
}

void steering_core::endAllocating(monotonic_time now)
{
    m_endedEpoch = std::max(m_endedEpoch, m_ledger.epoch());
    m_ledger.end();
    tick(now);
}

void steering_core::noteAllocator(const instance_id& holder, std::uint64_t epoch, monotonic_time now)
{
    auto& own = holderOf(m_self.failureDomain);
    if (epoch < own.epoch() || holder == m_self.instance)
        return;
    if (m_ledger.isActive() && epoch > m_ledger.epoch())
        endAllocating(now);
    m_allocators[m_self.failureDomain] = holder;
    own.noteEpoch(epoch);
}

void steering_core::proveGone(const instance_id& gone, incarnation alive, monotonic_time now)
{
    m_ledger.proveGone(gone, alive, now);
}

slot_holder& steering_core::holderOf(const failure_domain_id& domain)
{
    return m_holders.try_emplace(domain, domain, m_self, m_settings).first->second;
}

void steering_core::refuse(
    std::uint64_t ticket, refusal_reason reason, const std::string& detail, milliseconds retryAfter)
{
    refusal why;
    why.reason = reason;
    why.step = "steering.acquire";
    why.detail = detail;
    why.retryAfter = retryAfter;
    m_settled.push_back({ ticket, tl::unexpected(why) });
}

int steering_core::weightOf(const customer_id& customer) const
{
    for (const auto& known : m_current->customers) {
        if (known.name == customer)
            return known.weight;
    }
    return 1;
}

bool steering_core::isUsable(const upstream& target, const std::vector<upstream_id>& tried, monotonic_time now) const
{
    return !m_health.isLeaving(target.name, now) && m_connectable.contains(target.name)
        && std::find(tried.begin(), tried.end(), target.name) == tried.end();
}

void steering_core::enqueue(std::uint64_t ticket, const upstream_requirements& wish, monotonic_time now)
{
    if (!m_current)
        return refuse(ticket, refusal_reason::not_ready, "no configuration is in force yet", {});
    const auto found = m_sets.find({ wish.service, wish.version });
    bool isAnyUsable = false;
    if (found != m_sets.end()) {
        for (const auto& ring : found->second.rings) {
            isAnyUsable = isAnyUsable
                || std::any_of(ring.upstreams.begin(), ring.upstreams.end(),
                    [&](const auto* target) { return isUsable(*target, wish.tried, now); });
        }
    }
    if (!isAnyUsable)
        return refuse(ticket, refusal_reason::no_healthy_upstream, "no upstream can take it", shortestRetryAfter);
    auto& set = found->second;
    const int weight = weightOf(wish.customer);
    if (isHopeless(set, wish, weight, now))
        return refuse(ticket, refusal_reason::no_capacity, "it would wait past its deadline", shortestRetryAfter);
    if (!set.queue.push({ ticket, wish, now }, weight))
        return refuse(ticket, refusal_reason::no_capacity, "the queue is full", shortestRetryAfter);
    dispatch(set, now);
    if (set.queue.size() > 0) {
        updateWants(set, now);
        exchange(now);
        dispatch(set, now);
    }
}

bool steering_core::abandon(std::uint64_t ticket)
{
    return std::any_of(m_sets.begin(), m_sets.end(), [ticket](auto& item) { return item.second.queue.remove(ticket); });
}

/// @return whether the request would surely wait past its deadline, as far as the running averages tell
bool steering_core::isHopeless(
    const service_set& set, const upstream_requirements& wish, int weight, monotonic_time now)
{
    if (set.serviceMs == 0 || set.queue.size() == 0)
        return wish.deadline <= now;
    int slots = 0;
    for (const auto& ring : set.rings) {
        for (const auto* target : ring.upstreams)
            slots += std::max(holderOf(target->failureDomain).ceiling(target->name, now), 0);
    }
    if (slots == 0)
        return wish.deadline <= now;
    const auto ahead = static_cast<double>(set.queue.aheadOf(wish.customer, wish.requestClass, weight));
    const std::chrono::duration<double, std::milli> wait(ahead * set.serviceMs / slots);
    return now + std::chrono::duration_cast<microseconds>(wait) > wish.deadline;
}

bool steering_core::canStartAt(
    const upstream_ring& ring, const upstream& target, const upstream_requirements& wish, monotonic_time now)
{
    auto& holder = holderOf(target.failureDomain);
    if (!holder.isFree(target.name, now) || !isUsable(target, wish.tried, now) || m_health.isEjected(target.name, now))
        return false;
    if (ring.isOtherRegion && !holder.hasLinkBytes(now))
        return false;
    const double warmSlots = std::ceil(target.slots * m_health.warmth(target.name, now));
    return holder.busy(target.name) < warmSlots;
}

double steering_core::score(const upstream& target, monotonic_time now)
{
    const double inFlight = holderOf(target.failureDomain).busy(target.name) + 1.0;
    const double occupied = inFlight / target.slots + m_health.load(target.name, now);
    return occupied / m_health.warmth(target.name, now);
}

std::pair<const upstream*, const upstream_ring*> steering_core::choose(
    const service_set& set, const upstream_requirements& wish, monotonic_time now)
{
    for (const auto& ring : set.rings) {
        std::vector<const upstream*> free;
        for (const auto* target : ring.upstreams) {
            if (canStartAt(ring, *target, wish, now))
                free.push_back(target);
        }
        if (free.empty())
            continue;
        const auto* first = free[m_random(free.size())];
        const auto* second = free[m_random(free.size())];
        return { score(*second, now) < score(*first, now) ? second : first, &ring };
    }
    return { nullptr, nullptr };
}

void steering_core::start(const waiting_request& request, service_set& set, const upstream& target,
    const upstream_ring& ring, monotonic_time now)
{
    running_request running;
    running.target = &target;
    running.source = m_current;
    running.set = { request.wish.service, request.wish.version };
    running.kind = request.wish.requestClass;
    running.deadline = request.wish.deadline;
    running.requestBytes = static_cast<double>(request.wish.requestBytes);
    running.linkBytes = ring.isOtherRegion ? set.bytesOf(request.wish) : 0;
    auto& holder = holderOf(target.failureDomain);
    holder.take(target.name, now);
    holder.spendLinkBytes(running.linkBytes);
    m_running.emplace(++m_lastSlot, running);
    m_settled.push_back({ request.ticket, chosen_upstream { target, m_lastSlot } });
}

void steering_core::dispatch(service_set& set, monotonic_time now)
{
    while (set.queue.size() > 0) {
        std::pair<const upstream*, const upstream_ring*> chosen;
        const auto request = set.queue.popFirst([&](const waiting_request& candidate) {
            chosen = choose(set, candidate.wish, now);
            return chosen.first != nullptr;
        });
        if (!request)
            return;
        start(*request, set, *chosen.first, *chosen.second, now);
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
        holder.giveBack(target.name, now);
    m_health.noteResult(target.name, result, now);
    if (result.isUpstreamLeaving)
        spreadLeaving(now);
    const double bytes = running.requestBytes + static_cast<double>(result.answer.body.size());
    if (running.linkBytes > 0)
        holder.spendLinkBytes(bytes - running.linkBytes);
    const auto set = m_sets.find(running.set);
    if (set == m_sets.end())
        return;
    if (result.outcome == attempt_outcome::answered) {
        const double tookMs = std::chrono::duration<double, std::milli>(result.duration).count();
        set->second.noteAnswer(running.kind, tookMs, static_cast<double>(result.answer.body.size()));
    }
    dispatch(set->second, now);
}

void steering_core::noteProbe(const upstream_id& target, const probe_answer& answer, monotonic_time now)
{
    m_health.noteProbe(target, answer, now);
    if (answer.isLeaving)
        spreadLeaving(now);
}

/// Tells the allocators of upstreams that said that they are leaving.
void steering_core::spreadLeaving(monotonic_time now)
{
    for (const auto& target : m_current->upstreams) {
        auto& holder = holderOf(target.failureDomain);
        const bool isTold = m_health.isLeavingFirstHand(target.name, now);
        if (isTold)
            holder.reportLeaving(target.name);
        else
            holder.stopReportingLeaving(target.name);
    }
    exchange(now);
}

void steering_core::endLingering(monotonic_time now)
{
    for (const auto& slot : m_lingering) {
        if (slot.until <= now)
            holderOf(slot.domain).giveBack(slot.target, now);
    }
    std::erase_if(m_lingering, [now](const lingering_slot& slot) { return slot.until <= now; });
}

void steering_core::tick(monotonic_time now)
{
    if (!m_current)
        return;
    endLingering(now);
    for (auto& [domain, holder] : m_holders)
        holder.wantNoLinkBytes();
    for (auto& [key, set] : m_sets) {
        const auto service = microseconds(static_cast<std::int64_t>(set.serviceMs * 500)); // half of it may do
        for (const auto& request : set.queue.dropLate(now + service))
            refuse(request.ticket, refusal_reason::no_capacity, "no slot became free in time", shortestRetryAfter);
        dispatch(set, now);
        updateWants(set, now);
    }
    spreadLeaving(now);
    for (auto& [key, set] : m_sets)
        dispatch(set, now);
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
        const auto before = std::count_if(m_members.begin(), m_members.end(), [&](const member& who) {
            return who.failureDomain == m_self.failureDomain && who.instance != m_self.instance
                && mix64(salt ^ hash64(who.instance.value())) > ownScore;
        });
        if (static_cast<std::size_t>(before) < probersPerUpstream)
            result.push_back(target);
    }
    return result;
}

} // namespace flamingoroute
