#include "flamingoroute/limits/allocator.hpp"

#include <algorithm>
#include <functional>

namespace flamingoroute {

namespace {

constexpr milliseconds firstPlanDelay { 1000 };
constexpr milliseconds maxReadPause { 8000 };
constexpr milliseconds idleTableTimeout { 60000 };
constexpr monotonic_time never {};

} // namespace

allocator::allocator(instance_id localInstance, incarnation localIncarnation, const limit_settings& settings)
    : m_localInstance(std::move(localInstance))
    , m_incarnation(localIncarnation)
    , m_settings(settings)
    , m_promises(localIncarnation)
{
}

void allocator::onLimits(std::vector<rate_limit> limits, revision number)
{
    if (number < m_limitRevision)
        return;
    m_limits.clear();
    for (auto& limit : limits)
        m_limits[limit.customer] = std::move(limit);
    m_limitRevision = number;
}

void allocator::onMembers(std::vector<member> members) { m_members = std::move(members); }

const allocation_table* allocator::tableOf(const customer_id& customer) const
{
    const auto found = m_customers.find(customer);
    return found == m_customers.end() || !found->second.table ? nullptr : &*found->second.table;
}

bool allocator::isHolder(const customer_allocation& state) const
{
    return state.table && state.table->pool.instance == m_localInstance;
}

bool allocator::isOwnEntryAlive(monotonic_time now) const
{
    return m_ownEntryIncarnation != 0 && m_ownEntryReportAt + m_settings.promiseDuration > now;
}

void allocator::onReport(monotonic_time now, const instance_id& from, const usage_report& usage)
{
    if (from == m_localInstance) {
        if (usage.senderIncarnation < m_ownEntryIncarnation)
            return;
        m_ownEntryIncarnation = usage.senderIncarnation;
        m_ownEntryReportAt = now;
    }
    const customer_id customer(usage.customer);
    const bool isAnswer = usage.sequence == 0;
    if (customer.empty() || (isAnswer && !m_customers.contains(customer)))
        return;
    auto& state = m_customers[customer];
    state.customer = customer;
    if (from == m_localInstance && !isAnswer)
        onOwnReport(now, state, usage);
    if (isHolder(state))
        recordReporter(now, state, from, usage);
    if (state.table && !isAnswer)
        sendAssignment(now, state, from, usage.sequence);
}

void allocator::onOwnReport(monotonic_time now, customer_allocation& state, const usage_report& usage)
{
    state.ownReportAt = now;
    state.isPoolUnresponsive = usage.isPoolUnresponsive;
    if (!state.table || (usage.isPoolUnresponsive && !isHolder(state)))
        state.isReadWanted = true;
    if (isHolder(state) && usage.poolEpoch == state.table->epoch) {
        state.confirmedPoolVersion = usage.poolVersion;
        state.isFresh = false;
        state.poolInUse = usage.pool;
    }
}

void allocator::recordReporter(
    monotonic_time now, customer_allocation& state, const instance_id& from, const usage_report& usage)
{
    auto& known = state.reporters[from];
    if (usage.senderIncarnation < known.lastIncarnation)
        return;
    if (usage.senderIncarnation > known.lastIncarnation) {
        known = {};
        known.firstReportAt = now;
    }
    known.lastIncarnation = usage.senderIncarnation;
    known.demandPerSecond = usage.demandPerSecond;
    known.confirmedVersion = std::max(known.confirmedVersion, usage.tableVersion);
    known.lastReportAt = now;
}

void allocator::sendAssignment(
    monotonic_time now, const customer_allocation& state, const instance_id& to, std::uint64_t report)
{
    const auto& table = *state.table;
    share_assignment assignment;
    assignment.customer = table.customer.value();
    assignment.tableVersion = table.version;
    assignment.epoch = table.epoch;
    assignment.poolInstance = table.pool.instance.value();
    assignment.reportSequence = report;
    assignment.isFromAllocator = now < poolOwnershipUntil(state);
    for (const auto& row : table.floors) {
        if (row.instance == to) {
            assignment.floorIncarnation = row.holderIncarnation;
            assignment.floor = row.target;
        }
    }
    m_messages.push_back({ to, process_role::entry, assignment });
}

void allocator::sendAssignments(monotonic_time now, const customer_allocation& state)
{
    for (const auto& row : state.table->floors)
        sendAssignment(now, state, row.instance, 0);
    for (const auto& [instance, known] : state.reporters)
        sendAssignment(now, state, instance, 0);
    sendAssignment(now, state, m_localInstance, 0);
}

void allocator::onPing(monotonic_time now, const instance_id& from, const holder_ping& ping)
{
    if (ping.isPromise) {
        m_promises.onPromise(from, ping);
        return;
    }
    holder_ping promise = ping;
    promise.isPromise = true;
    promise.customers.clear();
    for (const auto& name : ping.customers) {
        const customer_id customer(name);
        auto& state = m_customers[customer];
        state.customer = customer;
        const bool isFromHolder = state.table && state.table->pool.instance == from;
        if (!isFromHolder || state.table->successor != m_localInstance || ping.sequence == 0)
            state.isReadWanted = true;
        // Only an instance that has read the table can promise not to take it over; a pending take-over may still take
        // effect.
        if (isFromHolder && !state.pendingWrite)
            promise.customers.push_back(name);
    }
    if (ping.sequence == 0 || promise.customers.empty())
        return;
    m_promises.recordGivenPromise(now, from);
    m_messages.push_back({ from, process_role::control, promise });
}

void allocator::tick(monotonic_time now)
{
    for (auto& [customer, state] : m_customers)
        tickCustomer(now, state);
    ping(now);
    removeIdle(now);
}

void allocator::tickCustomer(monotonic_time now, customer_allocation& state)
{
    if (isHolder(state)) {
        tickHolder(now, state);
        return;
    }
    if (state.isCallOpen)
        return;
    if (state.pendingWrite) {
        if (now >= state.nextRead)
            read(now, state);
    } else if (state.table && isTakeoverAllowed(now, state))
        takeOver(now, state);
    else if (state.table && isChallengeAllowed(now, state))
        challenge(now, state);
    else if (state.isReadWanted && now >= state.nextRead)
        read(now, state);
}

bool allocator::isTakeoverAllowed(monotonic_time now, const customer_allocation& state) const
{
    const auto& table = *state.table;
    const bool isWanted = isOwnEntryAlive(now) && state.ownReportAt != never;
    if (table.pool.instance.empty())
        return isWanted;
    const auto unchangedFor = now - state.unchangedSince;
    if (table.successor == m_localInstance && isOwnEntryAlive(now)) {
        const auto promised = m_promises.givenAt(table.pool.instance);
        const auto takeoverDelay = m_settings.promiseDuration + m_settings.maxClockDrift;
        return unchangedFor > takeoverDelay && now > promised + takeoverDelay;
    }
    return isWanted && unchangedFor > m_settings.abandonedTimeout + m_settings.maxClockDrift;
}

bool allocator::isChallengeAllowed(monotonic_time now, const customer_allocation& state) const
{
    return state.isPoolUnresponsive && state.table->successor.empty() && isOwnEntryAlive(now)
        && now >= state.nextChallenge && state.ownReportAt + m_settings.promiseDuration > now;
}

void allocator::challenge(monotonic_time now, customer_allocation& state)
{
    state.nextChallenge = now + m_settings.promiseDuration;
    allocation_table next = *state.table;
    ++next.version;
    next.successor = m_localInstance;
    write(now, state, std::move(next));
}

void allocator::takeOver(monotonic_time now, customer_allocation& state)
{
    allocation_table next = *state.table;
    next.version = state.table->version + 1;
    next.epoch = next.version;
    next.pool = {};
    const share floors = reservedTotal(next);
    const share rest { std::max(0.0, next.limit.perSecond - floors.perSecond),
        std::max(0, next.limit.depth - floors.depth) };
    next.pool = { m_localInstance, m_ownEntryIncarnation, rest, rest, next.version };
    next.successor = chooseSuccessor(now);
    write(now, state, std::move(next));
}

void allocator::createTable(monotonic_time now, customer_allocation& state)
{
    const auto limit = m_limits.find(state.customer);
    if (limit == m_limits.end() || !isOwnEntryAlive(now))
        return;
    state.storedVersion = 0;
    allocation_table first;
    first.customer = state.customer;
    first.version = 1;
    first.epoch = 1;
    first.limit = { limit->second.perSecond, limit->second.burst };
    first.limitRevision = m_limitRevision;
    first.pool = { m_localInstance, m_ownEntryIncarnation, first.limit, first.limit, 1 };
    first.successor = chooseSuccessor(now);
    write(now, state, std::move(first));
    state.isPendingWriteFresh = true;
}

void allocator::read(monotonic_time now, customer_allocation& state)
{
    state.isReadWanted = false;
    state.readPause = std::clamp(state.readPause * 2, m_settings.readRetryInterval, maxReadPause);
    // Spreads the reads of the instances to avoid a thundering herd after an outage.
    const auto spread = std::hash<std::string> {}(m_localInstance.value() + state.customer.value());
    const auto jitter = milliseconds(spread % static_cast<std::size_t>(state.readPause.count()));
    state.nextRead = now + state.readPause / 2 + jitter;
    state.isCallOpen = true;
    m_calls.push_back({ state.customer, std::nullopt, 0 });
}

void allocator::write(monotonic_time now, customer_allocation& state, allocation_table next)
{
    next.writer = m_localInstance.value() + "/" + std::to_string(m_incarnation);
    next.writeNumber = ++m_writeNumber;
    state.isCallOpen = true;
    state.isPendingWriteFresh = false;
    state.callBegan = now;
    state.pendingWrite = next;
    state.pendingWriteReplaces = state.storedVersion;
    m_calls.push_back({ state.customer, std::move(next), state.storedVersion });
}

void allocator::repeatWrite(customer_allocation& state)
{
    state.isCallOpen = true;
    m_calls.push_back({ state.customer, state.pendingWrite, state.pendingWriteReplaces });
}

void allocator::adopt(
    monotonic_time now, customer_allocation& state, const allocation_table& table, object_version version)
{
    if (state.table && version == state.storedVersion) {
        sendAssignment(now, state, m_localInstance, 0);
        return;
    }
    const bool wasHolder = isHolder(state);
    const bool isOwnWrite = state.pendingWrite && state.pendingWrite->writer == table.writer
        && state.pendingWrite->writeNumber == table.writeNumber;
    const bool isNewEpoch = !state.table || state.table->epoch != table.epoch;
    state.isFresh = isNewEpoch ? isOwnWrite && state.isPendingWriteFresh : state.isFresh;
    state.table = table;
    state.storedVersion = version;
    state.unchangedSince = now;
    state.pendingWrite.reset();
    state.isReadWanted = false;
    state.readPause = milliseconds { 0 };
    if (isOwnWrite)
        state.lastWriteBegan = state.callBegan;
    else
        state.lastWriteBegan = never;
    if (isHolder(state) && !wasHolder) {
        state.heldSince = now;
        // An earlier control process of this instance may have leased the pool until then.
        state.leasedUntil = now + m_settings.promiseDuration;
        // A late write of such a process may have taken the table from a holder that has a promise of this process.
        if (!isOwnWrite)
            state.poolBlockedUntil = m_promises.lastGivenAt() + m_settings.promiseDuration + m_settings.maxClockDrift;
        state.reporters.clear();
        state.planUntil = now + firstPlanDelay - m_settings.resplitInterval;
    }
    if (isNewEpoch)
        state.confirmedPoolVersion = 0;
    state.nextLease = never;
    sendAssignments(now, state);
    const auto& holder = table.pool.instance;
    if (wasHolder && isOwnWrite && !holder.empty() && holder != m_localInstance) {
        m_messages.push_back(
            { holder, process_role::control, holder_ping { 0, m_incarnation, false, { state.customer.value() } } });
    }
}

void allocator::onStoreResult(monotonic_time now, const store_result& result)
{
    const auto found = m_customers.find(result.customer);
    if (found == m_customers.end() || !found->second.isCallOpen)
        return;
    auto& state = found->second;
    state.isCallOpen = false;
    switch (result.outcome) {
    case store_outcome::done:
        if (result.table && state.pendingWrite && result.version == state.pendingWriteReplaces)
            repeatWrite(state);
        else if (result.table)
            adopt(now, state, *result.table, result.version);
        else if (state.pendingWrite)
            adopt(now, state, allocation_table(*state.pendingWrite), result.version);
        break;
    case store_outcome::absent:
        createTable(now, state);
        break;
    case store_outcome::conflict:
        state.nextRead = now;
        state.isReadWanted = true;
        break;
    case store_outcome::failed:
        state.isReadWanted = true;
        break;
    }
}

void allocator::removeIdle(monotonic_time now)
{
    std::erase_if(m_customers, [&](const auto& entry) {
        const auto& state = entry.second;
        const bool isNamed = state.table && (isHolder(state) || state.table->successor == m_localInstance);
        return !isNamed && !state.isCallOpen && state.ownReportAt + idleTableTimeout < now
            && state.unchangedSince + idleTableTimeout < now && !state.isReadWanted;
    });
}

std::vector<limit_message> allocator::takeMessages() { return std::exchange(m_messages, {}); }

std::vector<store_call> allocator::takeStoreCalls() { return std::exchange(m_calls, {}); }

} // namespace flamingoroute
