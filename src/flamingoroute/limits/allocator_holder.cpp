#include "flamingoroute/limits/allocator.hpp"

#include <algorithm>
#include <functional>

namespace flamingoroute {

namespace {

constexpr milliseconds leaseInterval { 200 };
constexpr milliseconds planStepInterval { 200 };
constexpr milliseconds planDuration { 3000 };
constexpr milliseconds reminderInterval { 1000 };
constexpr milliseconds suspicion { 10000 };
constexpr milliseconds idleTableHold { 60000 };
constexpr monotonic_time never {};

} // namespace

monotonic_time allocator::promisedUntil(const allocation_table& table, monotonic_time writeBegan) const
{
    // Without a successor anyone may name itself one, so only a recent write gives the right.
    if (table.successor.empty())
        return writeBegan + m_settings.promiseHold;
    return std::max(writeBegan, m_promises.promisedSince(table.successor, table.customer)) + m_settings.promiseHold;
}

monotonic_time allocator::rightUntil(const customer_allocation& state) const
{
    if (!isHolder(state) || state.writtenAt == never)
        return never;
    auto until = state.writtenAt + m_settings.abandonedHold;
    until = std::min(until, promisedUntil(*state.table, state.writtenAt));
    // A write that may have taken effect may have given the pool away, or named another successor.
    if (state.writing && state.writing->epoch != state.table->epoch)
        return never;
    if (state.writing)
        until = std::min(until, promisedUntil(*state.writing, state.callBegan));
    return until;
}

void allocator::ping(monotonic_time now)
{
    if (now < m_nextPing)
        return;
    m_nextPing = now + m_settings.promiseInterval;
    std::map<instance_id, std::vector<std::string>> bySuccessor;
    for (const auto& [customer, state] : m_customers) {
        if (!isHolder(state))
            continue;
        if (!state.table->successor.empty())
            bySuccessor[state.table->successor].push_back(customer.value());
        if (state.writing && !state.writing->successor.empty() && state.writing->successor != state.table->successor)
            bySuccessor[state.writing->successor].push_back(customer.value());
    }
    for (auto& [successor, customers] : bySuccessor) {
        m_messages.push_back(
            { successor, process_role::control, m_promises.makePing(now, successor, std::move(customers)) });
    }
}

instance_id allocator::chooseSuccessor(monotonic_time now) const
{
    failure_domain_id ownDomain;
    for (const auto& known : m_members) {
        if (known.instance == m_self)
            ownDomain = known.failureDomain;
    }
    instance_id best;
    std::pair<bool, std::size_t> bestRank;
    for (const auto& known : m_members) {
        const auto suspected = m_suspectedUntil.find(known.instance);
        const bool isSuspect = suspected != m_suspectedUntil.end() && suspected->second > now;
        if (known.instance == m_self || isSuspect)
            continue;
        const std::pair rank(
            known.failureDomain != ownDomain, std::hash<std::string> {}(m_self.value() + "/" + known.instance.value()));
        if (best.empty() || rank > bestRank) {
            best = known.instance;
            bestRank = rank;
        }
    }
    return best;
}

void allocator::tickHolder(monotonic_time now, customer_allocation& state)
{
    keepPool(now, state);
    sendLoweredFloors(now, state);
    if (state.isCallOpen)
        return;
    if (state.writing || state.isReadWanted) {
        // The outcome of a write is not known: read it back before anything else.
        if (now >= state.nextRead)
            read(now, state);
        return;
    }
    if (!mendHolding(now, state))
        planFloors(now, state);
}

bool allocator::mendHolding(monotonic_time now, customer_allocation& state)
{
    const auto& table = *state.table;
    if (isOwnEntryAlive(now) && m_ownEntryIncarnation != table.pool.holderIncarnation) {
        takeTable(now, state);
        return true;
    }
    const bool isLeaseOver = state.leasedUntil + m_settings.clockDrift < now;
    if (!isOwnEntryAlive(now) && isLeaseOver && !table.successor.empty()) {
        handOver(now, state, table.successor);
        return true;
    }
    if (isIdle(now, state) && isLeaseOver) {
        handOver(now, state, instance_id {});
        return true;
    }
    const auto promised = m_promises.promisedSince(table.successor, table.customer);
    const bool isChallenged = state.writtenAt == never && !table.successor.empty() && promised < state.seenSince;
    if (isChallenged && now < state.seenSince + suspicion)
        return true;
    const auto patience = m_settings.promiseHold * 3 / 4;
    const auto lastSign = std::max(promised, state.seenSince);
    const bool isSuccessorSilent = !table.successor.empty() && lastSign + patience < now;
    if (isSuccessorSilent)
        m_suspectedUntil[table.successor] = now + suspicion;
    const auto renewInterval = table.successor.empty() ? m_settings.promiseHold / 2 : m_settings.renewInterval;
    const bool isRenewalDue = state.writtenAt == never || state.writtenAt + renewInterval < now;
    const auto better = chooseSuccessor(now);
    const bool isSuccessorMissing = table.successor.empty() && !better.empty();
    if (!isSuccessorSilent && !isSuccessorMissing && !isRenewalDue)
        return false;
    allocation_table next = table;
    ++next.version;
    if (isSuccessorSilent || isSuccessorMissing)
        next.successor = better;
    write(now, state, std::move(next));
    return true;
}

void allocator::handOver(monotonic_time now, customer_allocation& state, const instance_id& to)
{
    allocation_table next = *state.table;
    ++next.version;
    next.epoch = next.version;
    next.pool = { to, 0, {}, {}, next.version };
    next.successor = to.empty() ? instance_id {} : m_self;
    write(now, state, std::move(next));
}

bool allocator::isIdle(monotonic_time now, const customer_allocation& state) const
{
    const bool hasTraffic = std::any_of(state.reporters.begin(), state.reporters.end(), [&](const auto& entry) {
        return entry.second.demandPerSecond > 0 && entry.second.heardAt + idleTableHold > now;
    });
    return !hasTraffic && state.table->floors.empty() && state.heldSince + idleTableHold < now;
}

allocation_input allocator::planInput(monotonic_time now, const customer_allocation& state) const
{
    allocation_input input;
    const auto limit = m_limits.find(state.customer);
    if (limit != m_limits.end()) {
        input.limit = { limit->second.perSecond, limit->second.burst };
        input.limitRevision = m_limitRevision;
    }
    input.floorFraction = m_settings.floorFraction;
    input.isStandingBy = m_settings.isStandingBy;
    input.isResplitDue = now < state.planUntil;
    input.confirmedPoolVersion = state.confirmedPoolVersion;
    input.poolInUse = state.poolInUse;
    const auto hold = m_settings.floorHold + m_settings.clockDrift;
    for (const auto& [instance, known] : state.reporters) {
        const bool isExpired = std::max(known.heardAt, state.heldSince) + hold < now;
        const bool mayHaveLent = now <= known.firstHeardAt + m_settings.grantLife + m_settings.clockDrift;
        input.holders.push_back(
            { instance, known.lastIncarnation, known.demandPerSecond, known.confirmedVersion, isExpired, mayHaveLent });
    }
    for (const auto& row : state.table->floors) {
        if (!state.reporters.contains(row.instance))
            input.holders.push_back({ row.instance, row.holderIncarnation, 0, 0, state.heldSince + hold < now, false });
    }
    return input;
}

void allocator::planFloors(monotonic_time now, customer_allocation& state)
{
    if (now < state.nextPlan || now >= rightUntil(state))
        return;
    state.nextPlan = now + planStepInterval;
    if (now >= state.planUntil + m_settings.resplitInterval)
        state.planUntil = now + planDuration;
    allocation_table next = planNext(*state.table, planInput(now, state));
    if (next.limit != state.table->limit)
        state.planUntil = now + planDuration;
    allocation_table same = *state.table;
    same.version = next.version;
    if (next == same)
        return;
    write(now, state, std::move(next));
}

void allocator::keepPool(monotonic_time now, customer_allocation& state)
{
    const auto until = rightUntil(state);
    const auto& pool = state.table->pool;
    if (now < state.rightFrom || now < state.nextLease || until <= now || !isOwnEntryAlive(now) || isIdle(now, state)
        || pool.holderIncarnation != m_ownEntryIncarnation)
        return;
    state.nextLease = now + leaseInterval;
    const auto validUntil = std::min(until, now + m_settings.promiseHold);
    state.leasedUntil = std::max(state.leasedUntil, validUntil);
    pool_lease lease { state.customer.value(), state.table->epoch, state.table->version, pool.holderIncarnation,
        pool.target, state.isFresh, validUntil.time_since_epoch().count() };
    m_messages.push_back({ m_self, process_role::entry, lease });
}

void allocator::sendLoweredFloors(monotonic_time now, customer_allocation& state)
{
    if (now < state.nextReminder)
        return;
    state.nextReminder = now + reminderInterval;
    for (const auto& row : state.table->floors) {
        if (row.target != row.reserved)
            assign(now, state, row.instance, 0);
    }
}

} // namespace flamingoroute
