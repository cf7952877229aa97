#include "flamingoroute/steering/slot_ledger.hpp"

#include "flamingoroute/steering/internal/water_fill.hpp"

#include <algorithm>

namespace flamingoroute {

slot_ledger::slot_ledger(failure_domain_id domain, steering_settings settings)
    : m_domain(std::move(domain))
    , m_settings(settings)
{
}

void slot_ledger::adopt(std::vector<upstream> upstreams, milliseconds maxDeadline)
{
    m_maxDeadline = std::max(m_maxDeadline, maxDeadline);
    std::map<std::string, upstream_capacity> capacities;
    for (const auto& target : upstreams) {
        const auto known = m_capacities.find(target.name.value());
        upstream_capacity next = known == m_capacities.end() ? upstream_capacity {} : known->second;
        if (known == m_capacities.end() && isActive() && !m_role->predecessors.empty())
            next.reserved = target.slots;
        next.slots = target.slots;
        next.isClosed = next.isClosed || target.isLeaving;
        next.isLeaving = next.isLeaving || target.isLeaving;
        capacities.emplace(target.name.value(), next);
    }
    m_capacities = std::move(capacities);
    m_isDirty = true;
}

void slot_ledger::setLink(const std::string& region, double bytesPerSecond)
{
    const auto known = m_links.find(region);
    if (known == m_links.end() || known->second.perSecond() != bytesPerSecond)
        m_links[region] = byte_bucket(bytesPerSecond, m_settings.linkDepth);
}

void slot_ledger::begin(const allocator_role& role, const instance_id& localInstance, monotonic_time now)
{
    if (isActive() && role.epoch <= epoch())
        return;
    m_role = role;
    m_holders.clear();
    m_notices.clear();
    m_leaseConfirmedAt = now;
    m_latestTime = now;
    m_isDirty = true;
    const bool isFirst = role.isFirst;
    for (auto& [name, target] : m_capacities)
        target.reserved = isFirst ? 0 : target.slots;
    m_reservedUntil = isFirst ? now : now + m_settings.grantLifetime + m_settings.clockDrift + m_maxDeadline;
    std::erase_if(m_role->predecessors, [&](const instance_run& run) { return run.first == localInstance; });
}

void slot_ledger::notifyOfEpoch(const member& owner)
{
    if (isActive())
        m_notices.push_back(noticeFor(owner.instance.value(), 0));
}

slot_grant slot_ledger::noticeFor(const std::string& instance, incarnation run) const
{
    slot_grant notice;
    notice.domain = m_domain.value();
    notice.epoch = epoch();
    notice.instance = instance;
    notice.instanceIncarnation = run;
    return notice;
}

void slot_ledger::end()
{
    m_role.reset();
    m_holders.clear();
    m_notices.clear();
}

void slot_ledger::confirmLease(monotonic_time requestedAt)
{
    m_leaseConfirmedAt = std::max(m_leaseConfirmedAt, requestedAt);
}

void slot_ledger::dropPredecessor(const instance_id& instance, incarnation below, monotonic_time now)
{
    if (!isActive())
        return;
    const auto dropped = std::erase_if(
        m_role->predecessors, [&](const instance_run& run) { return run.first == instance && run.second < below; });
    if (dropped > 0)
        m_reservedUntil = std::max(m_reservedUntil, now + m_maxDeadline);
}

void slot_ledger::confirmTerminated(const instance_id& instance, incarnation liveIncarnation, monotonic_time now)
{
    dropPredecessor(instance, liveIncarnation, now);
    for (auto& [key, owner] : m_holders) {
        if (key.first != instance.value() || key.second >= liveIncarnation || owner.isSuperseded)
            continue;
        owner.isSuperseded = true;
        owner.runsUntil = std::min(owner.runsUntil, now + m_maxDeadline);
        for (auto& [name, held] : owner.positions)
            held.demand = 0;
        m_isDirty = true;
    }
}

void slot_ledger::close(const upstream_id& target, bool isClosed, bool isLeaving)
{
    const auto found = m_capacities.find(target.value());
    if (found == m_capacities.end())
        return;
    m_isDirty = m_isDirty || found->second.isClosed != isClosed;
    found->second.isClosed = isClosed;
    found->second.isLeaving = isLeaving;
}

slot_ledger::holder& slot_ledger::holderOf(const slot_request& request)
{
    auto& owner = m_holders[{ request.instance, request.instanceIncarnation }];
    if (owner.instance.empty()) {
        owner.instance = request.instance;
        owner.ownIncarnation = request.instanceIncarnation;
        owner.region = request.instanceRegion;
        owner.isLocal = request.isLocal;
    }
    return owner;
}

/// Takes over slots that a predecessor granted; the sender no longer accepts grants of that predecessor.
void slot_ledger::inherit(const slot_request& request, holder& owner)
{
    for (const auto& entry : request.entries) {
        const auto found = m_capacities.find(entry.upstream);
        if (found == m_capacities.end() || entry.held <= 0)
            continue;
        found->second.reserved = std::max(0, found->second.reserved - entry.held);
        auto& held = owner.positions[entry.upstream];
        held.bound = entry.held;
        held.ceiling = entry.held;
    }
}

int slot_ledger::holder::highestUnacknowledged(const std::string& name) const
{
    int highest = 0;
    for (const auto& [number, ceilings] : unacknowledgedGrants) {
        const auto found = ceilings.find(name);
        if (found != ceilings.end())
            highest = std::max(highest, found->second);
    }
    return highest;
}

/// Records the slots that an instance holds and its demand. Grants up to the last one received no longer raise what it
/// holds.
void slot_ledger::updatePositions(const slot_request& request, holder& owner) const
{
    const bool isOfThisEpoch = request.heldEpoch == epoch();
    if (isOfThisEpoch)
        owner.unacknowledgedGrants.erase(
            owner.unacknowledgedGrants.begin(), owner.unacknowledgedGrants.upper_bound(request.lastReceivedGrant));
    std::map<std::string, slot_entry> entries;
    for (const auto& entry : request.entries) {
        entries[entry.upstream] = entry;
        owner.positions.try_emplace(entry.upstream);
    }
    for (auto& [name, held] : owner.positions) {
        const auto& entry = entries[name];
        held.demand = entry.demand;
        held.averageDemand = std::min(entry.demand, entry.averageDemand);
        if (!isOfThisEpoch)
            continue;
        held.bound = std::max(entry.held, owner.highestUnacknowledged(name));
        held.ceiling = std::min(held.ceiling, held.bound);
    }
}

void slot_ledger::receive(const slot_request& request, monotonic_time now)
{
    m_latestTime = now;
    if (!isActive() || request.domain != m_domain.value())
        return;
    if (request.epoch > epoch()) {
        end();
        return;
    }
    auto& newest = m_newestIncarnations[request.instance];
    if (request.instanceIncarnation < newest)
        return;
    if (request.instanceIncarnation > newest)
        confirmTerminated(instance_id(request.instance), request.instanceIncarnation, now);
    newest = request.instanceIncarnation;
    if (request.endedEpoch != 0 && request.endedEpoch < epoch())
        dropPredecessor(instance_id(request.instance), request.instanceIncarnation + 1, now);
    if (request.epoch < epoch()) {
        m_notices.push_back(noticeFor(request.instance, request.instanceIncarnation));
        return;
    }
    auto& owner = holderOf(request);
    if (request.number <= owner.lastReceivedRequest)
        return;
    if (owner.lastReceivedRequest == 0 && request.isLocal && request.heldEpoch < epoch())
        inherit(request, owner);
    owner.lastReceivedRequest = request.number;
    owner.requestAt = now;
    owner.linkBytesWanted = request.linkBytesWanted;
    updatePositions(request, owner);
    owner.isReplyDue = true;
    if (owner.grantsSent == 0)
        extendRunsUntil(owner);
    m_isDirty = true;
}

milliseconds slot_ledger::lifetimeFor(const holder& owner) const
{
    return owner.isLocal ? m_settings.grantLifetime : m_settings.creditLifetime;
}

/// @return whether grants to a holder that has sent no newer request would expire before they arrive
bool slot_ledger::areGrantsExpired(const holder& owner) const
{
    return m_latestTime >= owner.requestAt + lifetimeFor(owner);
}

void slot_ledger::extendRunsUntil(holder& owner) const
{
    owner.runsUntil
        = std::max(owner.runsUntil, owner.requestAt + lifetimeFor(owner) + m_settings.clockDrift + m_maxDeadline);
}

void slot_ledger::reclaim(monotonic_time now)
{
    const auto dropped = std::erase_if(m_holders, [&](const auto& item) {
        const holder& owner = item.second;
        return now > owner.runsUntil && (!owner.isLocal || m_leaseConfirmedAt > owner.runsUntil);
    });
    m_isDirty = m_isDirty || dropped > 0;
    releaseReserve(now);
}

void slot_ledger::releaseReserve(monotonic_time now)
{
    if (!m_role->predecessors.empty() || now < m_reservedUntil)
        return;
    for (auto& [name, target] : m_capacities) {
        m_isDirty = m_isDirty || target.reserved > 0;
        target.reserved = 0;
    }
}

int slot_ledger::committed(const upstream_id& target) const
{
    const auto found = m_capacities.find(target.value());
    int sum = found == m_capacities.end() ? 0 : found->second.reserved;
    for (const auto& [key, owner] : m_holders) {
        const auto held = owner.positions.find(target.value());
        if (held != owner.positions.end())
            sum += held->second.bound;
    }
    return sum;
}

void slot_ledger::allocate(const std::string& name, const upstream_capacity& target)
{
    std::vector<position*> locals;
    std::vector<position*> borrowers;
    for (auto& [key, owner] : m_holders) {
        const auto held = owner.positions.find(name);
        if (held == owner.positions.end())
            continue;
        if (owner.isSuperseded || areGrantsExpired(owner))
            held->second.ceiling = 0;
        else
            (owner.isLocal ? locals : borrowers).push_back(&held->second);
        held->second.target = 0;
    }
    int left = target.isClosed ? 0 : std::max(0, target.slots - target.reserved);
    int free = target.slots - committed(upstream_id(name));
    for (const auto demandField : { &position::averageDemand, &position::demand }) {
        distribute(locals, demandField, left);
        distribute(borrowers, demandField, left);
    }
    for (const auto* group : { &locals, &borrowers }) {
        for (auto* held : *group) {
            m_isScarce = m_isScarce || held->target < held->demand;
            const int kept = std::clamp(held->ceiling - held->target, 0, left); // idle slots stay with their holder
            left -= kept;
            const int units = held->target + kept;
            const int raise = std::clamp(units - held->bound, 0, std::max(0, free));
            held->ceiling = std::min(units, held->bound + raise);
            held->bound += raise;
            free -= raise;
        }
    }
}

/// Raises the targets of a group until each demand is met or no slots are left.
void slot_ledger::distribute(const std::vector<position*>& group, int position::*demandField, int& left) const
{
    std::vector<int> missing;
    missing.reserve(group.size());
    for (const auto* held : group)
        missing.push_back(std::max(0, held->*demandField - held->target));
    const auto first = group.empty() ? 0 : static_cast<std::size_t>(m_lastTurn) % group.size();
    const auto given = waterFill(missing, left, first);
    for (std::size_t i = 0; i < group.size(); ++i)
        group[i]->target += given[i];
}

void slot_ledger::allocateAll()
{
    std::map<holder_key, std::map<std::string, int>> before;
    for (const auto& [key, owner] : m_holders) {
        for (const auto& [name, held] : owner.positions)
            before[key][name] = held.ceiling;
    }
    const bool wasScarce = std::exchange(m_isScarce, false);
    for (const auto& [name, target] : m_capacities)
        allocate(name, target);
    for (auto& [key, owner] : m_holders) {
        for (auto& [name, held] : owner.positions) {
            if (!m_capacities.contains(name))
                held.ceiling = 0;
            owner.isReplyDue = owner.isReplyDue || before[key][name] != held.ceiling;
        }
        owner.isReplyDue = owner.isReplyDue || (m_isScarce && !wasScarce && owner.isLocal);
    }
}

bool slot_ledger::isGrantDue(const holder& owner, monotonic_time now) const
{
    if (owner.isSuperseded || owner.lastReceivedRequest == 0 || areGrantsExpired(owner))
        return false;
    if (owner.isReplyDue)
        return true;
    const bool isUnanswered = std::any_of(owner.positions.begin(), owner.positions.end(),
        [](const auto& item) { return item.second.bound != item.second.ceiling; });
    return isUnanswered && now - owner.sentAt >= m_settings.retransmitInterval;
}

slot_grant slot_ledger::makeGrant(holder& owner, monotonic_time now)
{
    slot_grant grant;
    grant.domain = m_domain.value();
    grant.epoch = epoch();
    grant.instance = owner.instance;
    grant.instanceIncarnation = owner.ownIncarnation;
    grant.number = ++owner.grantsSent;
    grant.lastReceivedRequest = owner.lastReceivedRequest;
    if (m_isScarce) {
        const auto holders = static_cast<std::int64_t>(m_holders.size());
        const auto interval = std::max(m_settings.reportInterval, m_settings.reportIntervalPerHolder * holders);
        grant.reportMs = static_cast<std::uint64_t>(interval.count());
    }
    grant.lifetimeMs = static_cast<std::uint64_t>(lifetimeFor(owner).count());
    const auto link = m_links.find(owner.region);
    if (link != m_links.end() && owner.linkBytesWanted > 0)
        grant.linkBytes = link->second.take(owner.linkBytesWanted, now);
    owner.linkBytesWanted -= std::min(owner.linkBytesWanted, grant.linkBytes);
    auto& ceilings = owner.unacknowledgedGrants[grant.number];
    for (const auto& [name, held] : owner.positions) {
        if (held.ceiling <= 0)
            continue;
        grant.ceilings.push_back({ name, held.ceiling });
        ceilings[name] = held.ceiling;
    }
    for (const auto& [name, target] : m_capacities) {
        if (target.isLeaving)
            grant.leaving.push_back(name);
    }
    extendRunsUntil(owner);
    owner.sentAt = now;
    owner.isReplyDue = false;
    return grant;
}

std::vector<slot_grant> slot_ledger::takeGrants(monotonic_time now)
{
    m_latestTime = now;
    if (!isActive())
        return {};
    reclaim(now);
    const auto turn = now.time_since_epoch() / m_settings.rotation;
    if (m_isDirty || turn != m_lastTurn) {
        m_lastTurn = turn;
        m_isDirty = false;
        allocateAll();
    }
    auto grants = std::move(m_notices);
    m_notices.clear();
    for (auto& [key, owner] : m_holders) {
        if (isGrantDue(owner, now))
            grants.push_back(makeGrant(owner, now));
    }
    return grants;
}

} // namespace flamingoroute
