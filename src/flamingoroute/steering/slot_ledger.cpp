#include "flamingoroute/steering/slot_ledger.hpp"

#include "flamingoroute/steering/internal/water_fill.hpp"

#include <algorithm>

namespace flamingoroute {

slot_ledger::slot_ledger(failure_domain_id domain, steering_settings settings)
    : m_domain(std::move(domain))
    , m_settings(settings)
{
}

void slot_ledger::adopt(std::vector<upstream> upstreams, milliseconds longestDeadline)
{
    m_longestDeadline = std::max(m_longestDeadline, longestDeadline);
    std::map<std::string, stock> stocks;
    for (const auto& target : upstreams) {
        const auto known = m_stocks.find(target.name.value());
        stock next = known == m_stocks.end() ? stock {} : known->second;
        if (known == m_stocks.end() && isActive() && !m_role->predecessors.empty())
            next.reserved = target.slots;
        next.slots = target.slots;
        next.isClosed = next.isClosed || target.isLeaving;
        next.isLeaving = next.isLeaving || target.isLeaving;
        stocks.emplace(target.name.value(), next);
    }
    m_stocks = std::move(stocks);
    m_isDirty = true;
}

void slot_ledger::setLink(const std::string& region, double bytesPerSecond)
{
    const auto known = m_links.find(region);
    if (known == m_links.end() || known->second.perSecond() != bytesPerSecond)
        m_links[region] = byte_bucket(bytesPerSecond, m_settings.linkDepth);
}

void slot_ledger::begin(const allocator_role& role, const instance_id& self, monotonic_time now)
{
    if (isActive() && role.epoch <= epoch())
        return;
    m_role = role;
    m_holders.clear();
    m_notices.clear();
    m_leaseConfirmedAt = now;
    m_latest = now;
    m_isDirty = true;
    const bool isFirst = role.isFirst;
    for (auto& [name, target] : m_stocks)
        target.reserved = isFirst ? 0 : target.slots;
    m_reservedUntil = isFirst ? now : now + m_settings.grantLife + m_settings.clockDrift + m_longestDeadline;
    std::erase_if(m_role->predecessors, [&](const instance_run& run) { return run.first == self; });
}

void slot_ledger::announce(const member& who)
{
    if (isActive())
        m_notices.push_back(noticeFor(who.instance.value(), 0));
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

void slot_ledger::confirmLease(monotonic_time askedAt) { m_leaseConfirmedAt = std::max(m_leaseConfirmedAt, askedAt); }

void slot_ledger::dropPredecessor(const instance_id& gone, incarnation below, monotonic_time now)
{
    if (!isActive())
        return;
    const auto dropped = std::erase_if(
        m_role->predecessors, [&](const instance_run& run) { return run.first == gone && run.second < below; });
    if (dropped > 0)
        m_reservedUntil = std::max(m_reservedUntil, now + m_longestDeadline);
}

void slot_ledger::proveGone(const instance_id& gone, incarnation alive, monotonic_time now)
{
    dropPredecessor(gone, alive, now);
    for (auto& [key, who] : m_holders) {
        if (key.first != gone.value() || key.second >= alive || who.isGone)
            continue;
        who.isGone = true;
        who.runsUntil = std::min(who.runsUntil, now + m_longestDeadline);
        for (auto& [name, held] : who.positions)
            held.wanted = 0;
        m_isDirty = true;
    }
}

void slot_ledger::close(const upstream_id& target, bool isClosed, bool isLeaving)
{
    const auto found = m_stocks.find(target.value());
    if (found == m_stocks.end())
        return;
    m_isDirty = m_isDirty || found->second.isClosed != isClosed;
    found->second.isClosed = isClosed;
    found->second.isLeaving = isLeaving;
}

slot_ledger::holder& slot_ledger::holderOf(const slot_request& request)
{
    auto& who = m_holders[{ request.instance, request.instanceIncarnation }];
    if (who.instance.empty()) {
        who.instance = request.instance;
        who.ownIncarnation = request.instanceIncarnation;
        who.region = request.instanceRegion;
        who.isLocal = request.isLocal;
    }
    return who;
}

/// Takes over slots that were granted by a predecessor; the sender no longer listens to that one.
void slot_ledger::inherit(const slot_request& request, holder& who)
{
    for (const auto& entry : request.entries) {
        const auto found = m_stocks.find(entry.upstream);
        if (found == m_stocks.end() || entry.have <= 0)
            continue;
        found->second.reserved = std::max(0, found->second.reserved - entry.have);
        auto& held = who.positions[entry.upstream];
        held.bound = entry.have;
        held.ceiling = entry.have;
    }
}

int slot_ledger::holder::highestUnseen(const std::string& name) const
{
    int highest = 0;
    for (const auto& [number, ceilings] : unseen) {
        const auto found = ceilings.find(name);
        if (found != ceilings.end())
            highest = std::max(highest, found->second);
    }
    return highest;
}

/// Takes in what an instance holds and wants. Grants up to the last one seen no longer raise what it holds.
void slot_ledger::settle(const slot_request& request, holder& who) const
{
    const bool isOfThisEpoch = request.heldEpoch == epoch();
    if (isOfThisEpoch)
        who.unseen.erase(who.unseen.begin(), who.unseen.upper_bound(request.grantSeen));
    std::map<std::string, slot_entry> entries;
    for (const auto& entry : request.entries) {
        entries[entry.upstream] = entry;
        who.positions.try_emplace(entry.upstream);
    }
    for (auto& [name, held] : who.positions) {
        const auto& entry = entries[name];
        held.wanted = entry.wanted;
        held.steady = std::min(entry.wanted, entry.steady);
        if (!isOfThisEpoch)
            continue;
        held.bound = std::max(entry.have, who.highestUnseen(name));
        held.ceiling = std::min(held.ceiling, held.bound);
    }
}

void slot_ledger::receive(const slot_request& request, monotonic_time now)
{
    m_latest = now;
    if (!isActive() || request.domain != m_domain.value())
        return;
    if (request.epoch > epoch()) {
        end();
        return;
    }
    auto& newest = m_newest[request.instance];
    if (request.instanceIncarnation < newest)
        return;
    if (request.instanceIncarnation > newest)
        proveGone(instance_id(request.instance), request.instanceIncarnation, now);
    newest = request.instanceIncarnation;
    if (request.endedEpoch != 0 && request.endedEpoch < epoch())
        dropPredecessor(instance_id(request.instance), request.instanceIncarnation + 1, now);
    if (request.epoch < epoch()) {
        m_notices.push_back(noticeFor(request.instance, request.instanceIncarnation));
        return;
    }
    auto& who = holderOf(request);
    if (request.number <= who.requestSeen)
        return;
    if (who.requestSeen == 0 && request.isLocal && request.heldEpoch < epoch())
        inherit(request, who);
    who.requestSeen = request.number;
    who.requestAt = now;
    who.linkBytesWanted = request.linkBytesWanted;
    settle(request, who);
    who.isReplyDue = true;
    if (who.grantsSent == 0)
        noteRuns(who);
    m_isDirty = true;
}

milliseconds slot_ledger::lifeFor(const holder& who) const
{
    return who.isLocal ? m_settings.grantLife : m_settings.creditLife;
}

/// @return whether grants to a holder that has not asked again would lapse before they arrive
bool slot_ledger::hasLapsed(const holder& who) const { return m_latest >= who.requestAt + lifeFor(who); }

void slot_ledger::noteRuns(holder& who) const
{
    who.runsUntil = std::max(who.runsUntil, who.requestAt + lifeFor(who) + m_settings.clockDrift + m_longestDeadline);
}

void slot_ledger::reclaim(monotonic_time now)
{
    const auto dropped = std::erase_if(m_holders, [&](const auto& item) {
        const holder& who = item.second;
        return now > who.runsUntil && (!who.isLocal || m_leaseConfirmedAt > who.runsUntil);
    });
    m_isDirty = m_isDirty || dropped > 0;
    releaseReserve(now);
}

void slot_ledger::releaseReserve(monotonic_time now)
{
    if (!m_role->predecessors.empty() || now < m_reservedUntil)
        return;
    for (auto& [name, target] : m_stocks) {
        m_isDirty = m_isDirty || target.reserved > 0;
        target.reserved = 0;
    }
}

int slot_ledger::committed(const upstream_id& target) const
{
    const auto found = m_stocks.find(target.value());
    int sum = found == m_stocks.end() ? 0 : found->second.reserved;
    for (const auto& [key, who] : m_holders) {
        const auto held = who.positions.find(target.value());
        if (held != who.positions.end())
            sum += held->second.bound;
    }
    return sum;
}

void slot_ledger::allot(const std::string& name, const stock& target)
{
    std::vector<position*> locals;
    std::vector<position*> borrowers;
    for (auto& [key, who] : m_holders) {
        const auto held = who.positions.find(name);
        if (held == who.positions.end())
            continue;
        if (who.isGone || hasLapsed(who))
            held->second.ceiling = 0;
        else
            (who.isLocal ? locals : borrowers).push_back(&held->second);
        held->second.target = 0;
    }
    int left = target.isClosed ? 0 : std::max(0, target.slots - target.reserved);
    int free = target.slots - committed(upstream_id(name));
    for (const auto demand : { &position::steady, &position::wanted }) {
        fill(locals, demand, left);
        fill(borrowers, demand, left);
    }
    for (const auto* group : { &locals, &borrowers }) {
        for (auto* held : *group) {
            m_isScarce = m_isScarce || held->target < held->wanted;
            const int kept = std::clamp(held->ceiling - held->target, 0, left); // idle slots stay where they are
            left -= kept;
            const int units = held->target + kept;
            const int raise = std::clamp(units - held->bound, 0, std::max(0, free));
            held->ceiling = std::min(units, held->bound + raise);
            held->bound += raise;
            free -= raise;
        }
    }
}

/// Adds to the targets of a group until each has what it demands or nothing is left.
void slot_ledger::fill(const std::vector<position*>& group, int position::*demand, int& left) const
{
    std::vector<int> missing;
    missing.reserve(group.size());
    for (const auto* held : group)
        missing.push_back(std::max(0, held->*demand - held->target));
    const auto first = group.empty() ? 0 : static_cast<std::size_t>(m_lastTurn) % group.size();
    const auto given = waterFill(missing, left, first);
    for (std::size_t i = 0; i < group.size(); ++i)
        group[i]->target += given[i];
}

void slot_ledger::allotAll()
{
    std::map<holder_key, std::map<std::string, int>> before;
    for (const auto& [key, who] : m_holders) {
        for (const auto& [name, held] : who.positions)
            before[key][name] = held.ceiling;
    }
    const bool wasScarce = std::exchange(m_isScarce, false);
    for (const auto& [name, target] : m_stocks)
        allot(name, target);
    for (auto& [key, who] : m_holders) {
        for (auto& [name, held] : who.positions) {
            if (!m_stocks.contains(name))
                held.ceiling = 0;
            who.isReplyDue = who.isReplyDue || before[key][name] != held.ceiling;
        }
        who.isReplyDue = who.isReplyDue || (m_isScarce && !wasScarce && who.isLocal);
    }
}

bool slot_ledger::isGrantDue(const holder& who, monotonic_time now) const
{
    if (who.isGone || who.requestSeen == 0 || hasLapsed(who))
        return false;
    if (who.isReplyDue)
        return true;
    const bool isUnanswered = std::any_of(who.positions.begin(), who.positions.end(),
        [](const auto& item) { return item.second.bound != item.second.ceiling; });
    return isUnanswered && now - who.sentAt >= m_settings.retransmitInterval;
}

slot_grant slot_ledger::makeGrant(holder& who, monotonic_time now)
{
    slot_grant grant;
    grant.domain = m_domain.value();
    grant.epoch = epoch();
    grant.instance = who.instance;
    grant.instanceIncarnation = who.ownIncarnation;
    grant.number = ++who.grantsSent;
    grant.requestSeen = who.requestSeen;
    if (m_isScarce) {
        const auto holders = static_cast<std::int64_t>(m_holders.size());
        const auto interval = std::max(m_settings.reportInterval, m_settings.reportIntervalPerHolder * holders);
        grant.reportMs = static_cast<std::uint64_t>(interval.count());
    }
    grant.lifeMs = static_cast<std::uint64_t>(lifeFor(who).count());
    const auto link = m_links.find(who.region);
    if (link != m_links.end() && who.linkBytesWanted > 0)
        grant.linkBytes = link->second.take(who.linkBytesWanted, now);
    who.linkBytesWanted -= std::min(who.linkBytesWanted, grant.linkBytes);
    auto& ceilings = who.unseen[grant.number];
    for (const auto& [name, held] : who.positions) {
        if (held.ceiling <= 0)
            continue;
        grant.ceilings.push_back({ name, held.ceiling });
        ceilings[name] = held.ceiling;
    }
    for (const auto& [name, target] : m_stocks) {
        if (target.isLeaving)
            grant.leaving.push_back(name);
    }
    noteRuns(who);
    who.sentAt = now;
    who.isReplyDue = false;
    return grant;
}

std::vector<slot_grant> slot_ledger::takeGrants(monotonic_time now)
{
    m_latest = now;
    if (!isActive())
        return {};
    reclaim(now);
    const auto turn = now.time_since_epoch() / m_settings.rotation;
    if (m_isDirty || turn != m_lastTurn) {
        m_lastTurn = turn;
        m_isDirty = false;
        allotAll();
    }
    auto grants = std::move(m_notices);
    m_notices.clear();
    for (auto& [key, who] : m_holders) {
        if (isGrantDue(who, now))
            grants.push_back(makeGrant(who, now));
    }
    return grants;
}

} // namespace flamingoroute
