#include "flamingoroute/limits/allocator.hpp"

#include <algorithm>
#include <functional>

namespace flamingoroute {

namespace {

constexpr milliseconds leaseInterval { 200 };
constexpr milliseconds planStepInterval { 200 };
constexpr milliseconds planDuration { 3000 };
constexpr milliseconds resendInterval { 1000 };
constexpr milliseconds suspectDuration { 10000 };
constexpr milliseconds idleTableTimeout { 60000 };
constexpr monotonic_time never {};

} // namespace

monotonic_time allocator::promisedUntil(const allocation_table& table, monotonic_time writeBegan) const
{
    // Without a successor any instance may name itself one, so only a recent write proves ownership.
    if (table.successor.empty())
        return writeBegan + m_settings.promiseDuration;
    return std::max(writeBegan, m_promises.promisedSince(table.successor, table.customer)) + m_settings.promiseDuration;
}

monotonic_time allocator::poolOwnershipUntil(const customer_allocation& state) const
{
    if (!isHolder(state) || state.lastWriteBegan == never)
        return never;
    auto until = state.lastWriteBegan + m_settings.abandonedTimeout;
    until = std::min(until, promisedUntil(*state.table, state.lastWriteBegan));
    // A pending write may already have handed over the pool, or named another successor.
    if (state.pendingWrite && state.pendingWrite->epoch != state.table->epoch)
        return never;
    if (state.pendingWrite)
        until = std::min(until, promisedUntil(*state.pendingWrite, state.callBegan));
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
        if (state.pendingWrite && !state.pendingWrite->successor.empty()
            && state.pendingWrite->successor != state.table->successor)
            bySuccessor[state.pendingWrite->successor].push_back(customer.value());
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
        if (known.instance == m_localInstance)
            ownDomain = known.failureDomain;
    }
    instance_id best;
    std::pair<bool, std::size_t> bestRank;
    for (const auto& known : m_members) {
        const auto suspected = m_suspectedUntil.find(known.instance);
        const bool isSuspect = suspected != m_suspectedUntil.end() && suspected->second > now;
        if (known.instance == m_localInstance || isSuspect)
            continue;
        const std::pair rank(known.failureDomain != ownDomain,
            std::hash<std::string> {}(m_localInstance.value() + "/" + known.instance.value()));
        if (best.empty() || rank > bestRank) {
            best = known.instance;
            bestRank = rank;
        }
    }
    return best;
}

void allocator::tickHolder(monotonic_time now, customer_allocation& state)
{
    sendPoolLease(now, state);
    resendLoweredFloors(now, state);
    if (state.isCallOpen)
        return;
    if (state.pendingWrite || state.isReadWanted) {
        // The outcome of a write is not known: reads the table back before anything else.
        if (now >= state.nextRead)
            read(now, state);
        return;
    }
    if (!maintainTable(now, state))
        planFloors(now, state);
}

bool allocator::maintainTable(monotonic_time now, customer_allocation& state)
{
    const auto& table = *state.table;
    if (isOwnEntryAlive(now) && m_ownEntryIncarnation != table.pool.holderIncarnation) {
        takeOver(now, state);
        return true;
    }
    const bool isLeaseOver = state.leasedUntil + m_settings.maxClockDrift < now;
    if (!isOwnEntryAlive(now) && isLeaseOver && !table.successor.empty()) {
        handOver(now, state, table.successor);
        return true;
    }
    if (isIdle(now, state) && isLeaseOver) {
        handOver(now, state, instance_id {});
        return true;
    }
    const auto promised = m_promises.promisedSince(table.successor, table.customer);
    const bool isChallenged
        = state.lastWriteBegan == never && !table.successor.empty() && promised < state.unchangedSince;
    if (isChallenged && now < state.unchangedSince + suspectDuration)
        return true;
    const auto silenceTimeout = m_settings.promiseDuration * 3 / 4;
    const auto lastContact = std::max(promised, state.unchangedSince);
    const bool isSuccessorUnresponsive = !table.successor.empty() && lastContact + silenceTimeout < now;
    if (isSuccessorUnresponsive)
        m_suspectedUntil[table.successor] = now + suspectDuration;
    const auto renewInterval = table.successor.empty() ? m_settings.promiseDuration / 2 : m_settings.renewInterval;
    const bool isRenewalDue = state.lastWriteBegan == never || state.lastWriteBegan + renewInterval < now;
    const auto candidate = chooseSuccessor(now);
    const bool isSuccessorMissing = table.successor.empty() && !candidate.empty();
    if (!isSuccessorUnresponsive && !isSuccessorMissing && !isRenewalDue)
        return false;
    allocation_table next = table;
    ++next.version;
    if (isSuccessorUnresponsive || isSuccessorMissing)
        next.successor = candidate;
    write(now, state, std::move(next));
    return true;
}

void allocator::handOver(monotonic_time now, customer_allocation& state, const instance_id& to)
{
    allocation_table next = *state.table;
    ++next.version;
    next.epoch = next.version;
    next.pool = { to, 0, {}, {}, next.version };
    next.successor = to.empty() ? instance_id {} : m_localInstance;
    write(now, state, std::move(next));
}

bool allocator::isIdle(monotonic_time now, const customer_allocation& state) const
{
    const bool hasTraffic = std::any_of(state.reporters.begin(), state.reporters.end(), [&](const auto& entry) {
        return entry.second.demandPerSecond > 0 && entry.second.lastReportAt + idleTableTimeout > now;
    });
    return !hasTraffic && state.table->floors.empty() && state.heldSince + idleTableTimeout < now;
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
    input.keepsFloorWithoutDemand = m_settings.keepsFloorWithoutDemand;
    input.isResplitDue = now < state.planUntil;
    input.confirmedPoolVersion = state.confirmedPoolVersion;
    input.poolInUse = state.poolInUse;
    const auto floorTimeout = m_settings.floorLifetime + m_settings.maxClockDrift;
    for (const auto& [instance, known] : state.reporters) {
        const bool isExpired = std::max(known.lastReportAt, state.heldSince) + floorTimeout < now;
        const bool mayHaveLent = now <= known.firstReportAt + m_settings.grantLifetime + m_settings.maxClockDrift;
        input.holders.push_back(
            { instance, known.lastIncarnation, known.demandPerSecond, known.confirmedVersion, isExpired, mayHaveLent });
    }
    for (const auto& row : state.table->floors) {
        if (!state.reporters.contains(row.instance))
            input.holders.push_back(
                { row.instance, row.holderIncarnation, 0, 0, state.heldSince + floorTimeout < now, false });
    }
    return input;
}

void allocator::planFloors(monotonic_time now, customer_allocation& state)
{
    if (now < state.nextPlan || now >= poolOwnershipUntil(state))
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

void allocator::sendPoolLease(monotonic_time now, customer_allocation& state)
{
    const auto until = poolOwnershipUntil(state);
    const auto& pool = state.table->pool;
    if (now < state.poolBlockedUntil || now < state.nextLease || until <= now || !isOwnEntryAlive(now)
        || isIdle(now, state) || pool.holderIncarnation != m_ownEntryIncarnation)
        return;
    state.nextLease = now + leaseInterval;
    const auto validUntil = std::min(until, now + m_settings.promiseDuration);
    state.leasedUntil = std::max(state.leasedUntil, validUntil);
    pool_lease lease { state.customer.value(), state.table->epoch, state.table->version, pool.holderIncarnation,
        pool.target, state.isFresh, validUntil.time_since_epoch().count() };
    m_messages.push_back({ m_localInstance, process_role::entry, lease });
}

void allocator::resendLoweredFloors(monotonic_time now, customer_allocation& state)
{
    if (now < state.nextResend)
        return;
    state.nextResend = now + resendInterval;
    for (const auto& row : state.table->floors) {
        if (row.target != row.reserved)
            sendAssignment(now, state, row.instance, 0);
    }
}

} // namespace flamingoroute
