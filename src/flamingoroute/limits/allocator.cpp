#include "flamingoroute/limits/allocator.hpp"

#include <algorithm>
#include <functional>

namespace flamingoroute {

namespace {

constexpr milliseconds leaseInterval { 200 };
constexpr milliseconds planStepInterval { 200 };
constexpr milliseconds planDuration { 3000 };
constexpr milliseconds firstPlanDelay { 1000 };
constexpr milliseconds reminderInterval { 1000 };
constexpr milliseconds longestReadPause { 8000 };
constexpr milliseconds suspicion { 10000 };
constexpr milliseconds idleTableHold { 60000 };
constexpr monotonic_time never {};

} // namespace

allocator::allocator(instance_id self, incarnation selfIncarnation, const limit_settings& settings)
    : m_self(std::move(self))
    , m_incarnation(selfIncarnation)
    , m_settings(settings)
    , m_promises(selfIncarnation)
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
    return state.table && state.table->pool.instance == m_self;
}

bool allocator::isOwnEntryAlive(monotonic_time now) const
{
    return m_ownEntryIncarnation != 0 && m_ownEntryHeard + m_settings.promiseHold > now;
}

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

void allocator::onReport(monotonic_time now, const instance_id& from, const usage_report& usage)
{
    if (from == m_self) {
        if (usage.senderIncarnation < m_ownEntryIncarnation)
            return;
        m_ownEntryIncarnation = usage.senderIncarnation;
        m_ownEntryHeard = now;
    }
    const customer_id customer(usage.customer);
    const bool isAnswer = usage.sequence == 0;
    if (customer.empty() || (isAnswer && !m_customers.contains(customer)))
        return;
    auto& state = m_customers[customer];
    state.customer = customer;
    if (from == m_self && !isAnswer)
        onOwnReport(now, state, usage);
    if (isHolder(state))
        noteReporter(now, state, from, usage);
    if (state.table && !isAnswer)
        assign(now, state, from, usage.sequence);
}

void allocator::onOwnReport(monotonic_time now, customer_allocation& state, const usage_report& usage)
{
    state.heardOwnAt = now;
    state.isPoolSilent = usage.isPoolSilent;
    if (!state.table || (usage.isPoolSilent && !isHolder(state)))
        state.isReadWanted = true;
    if (isHolder(state) && usage.poolEpoch == state.table->epoch) {
        state.confirmedPoolVersion = usage.poolVersion;
        state.isFresh = false;
        state.poolInUse = usage.pool;
    }
}

void allocator::noteReporter(
    monotonic_time now, customer_allocation& state, const instance_id& from, const usage_report& usage)
{
    auto& known = state.reporters[from];
    if (usage.senderIncarnation < known.lastIncarnation)
        return;
    if (usage.senderIncarnation > known.lastIncarnation)
        known = {};
    known.lastIncarnation = usage.senderIncarnation;
    known.demandPerSecond = usage.demandPerSecond;
    known.confirmedVersion = std::max(known.confirmedVersion, usage.tableVersion);
    known.heardAt = now;
}

void allocator::assign(
    monotonic_time now, const customer_allocation& state, const instance_id& to, std::uint64_t report)
{
    const auto& table = *state.table;
    share_assignment assignment;
    assignment.customer = table.customer.value();
    assignment.tableVersion = table.version;
    assignment.epoch = table.epoch;
    assignment.poolInstance = table.pool.instance.value();
    assignment.reportSequence = report;
    assignment.isFromAllocator = now < rightUntil(state);
    for (const auto& row : table.floors) {
        if (row.instance == to) {
            assignment.floorIncarnation = row.holderIncarnation;
            assignment.floor = row.target;
        }
    }
    m_messages.push_back({ to, process_role::entry, assignment });
}

void allocator::announce(monotonic_time now, const customer_allocation& state)
{
    for (const auto& row : state.table->floors)
        assign(now, state, row.instance, 0);
    for (const auto& [instance, known] : state.reporters)
        assign(now, state, instance, 0);
    assign(now, state, m_self, 0);
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
        if (!isFromHolder || state.table->successor != m_self || ping.sequence == 0)
            state.isReadWanted = true;
        // Only who knows the table can say that it has not taken it; a take-over under way may still take effect.
        if (isFromHolder && !state.writing)
            promise.customers.push_back(name);
    }
    if (ping.sequence == 0 || promise.customers.empty())
        return;
    m_promises.noteGiven(now, from);
    m_messages.push_back({ from, process_role::control, promise });
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

void allocator::tick(monotonic_time now)
{
    for (auto& [customer, state] : m_customers)
        tickCustomer(now, state);
    ping(now);
    forgetIdle(now);
}

void allocator::tickCustomer(monotonic_time now, customer_allocation& state)
{
    if (isHolder(state)) {
        tickHolder(now, state);
        return;
    }
    if (state.isCallOpen)
        return;
    if (state.writing) {
        if (now >= state.nextRead)
            read(now, state);
    } else if (state.table && isTakeable(now, state))
        takeTable(now, state);
    else if (state.table && isChallengeable(now, state))
        challenge(now, state);
    else if (state.isReadWanted && now >= state.nextRead)
        read(now, state);
}

bool allocator::isTakeable(monotonic_time now, const customer_allocation& state) const
{
    const auto& table = *state.table;
    const bool isWanted = isOwnEntryAlive(now) && state.heardOwnAt != never;
    if (table.pool.instance.empty())
        return isWanted;
    const auto unchangedFor = now - state.seenSince;
    if (table.successor == m_self && isOwnEntryAlive(now)) {
        const auto promised = m_promises.givenAt(table.pool.instance);
        const auto patience = m_settings.promiseHold + m_settings.clockDrift;
        return unchangedFor > patience && now > promised + patience;
    }
    return isWanted && unchangedFor > m_settings.abandonedHold + m_settings.clockDrift;
}

bool allocator::isChallengeable(monotonic_time now, const customer_allocation& state) const
{
    return state.isPoolSilent && state.table->successor.empty() && isOwnEntryAlive(now) && now >= state.nextChallenge
        && state.heardOwnAt + m_settings.promiseHold > now;
}

void allocator::challenge(monotonic_time now, customer_allocation& state)
{
    state.nextChallenge = now + m_settings.promiseHold;
    allocation_table next = *state.table;
    ++next.version;
    next.successor = m_self;
    write(now, state, std::move(next));
}

void allocator::takeTable(monotonic_time now, customer_allocation& state)
{
    allocation_table next = *state.table;
    next.version = state.table->version + 1;
    next.epoch = next.version;
    next.pool = {};
    const share floors = reservedTotal(next);
    const share rest { std::max(0.0, next.limit.perSecond - floors.perSecond),
        std::max(0, next.limit.depth - floors.depth) };
    next.pool = { m_self, m_ownEntryIncarnation, rest, rest, next.version };
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
    first.pool = { m_self, m_ownEntryIncarnation, first.limit, first.limit, 1 };
    first.successor = chooseSuccessor(now);
    write(now, state, std::move(first));
    state.isWritingFresh = true;
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

plan_input allocator::planInput(monotonic_time now, const customer_allocation& state) const
{
    plan_input input;
    const auto limit = m_limits.find(state.customer);
    if (limit != m_limits.end()) {
        input.limit = { limit->second.perSecond, limit->second.burst };
        input.limitRevision = m_limitRevision;
    }
    input.floorFraction = m_settings.floorFraction;
    input.isResplitDue = now < state.planUntil;
    input.confirmedPoolVersion = state.confirmedPoolVersion;
    input.poolInUse = state.poolInUse;
    const auto hold = m_settings.floorHold + m_settings.clockDrift;
    for (const auto& [instance, known] : state.reporters) {
        const bool isExpired = std::max(known.heardAt, state.heldSince) + hold < now;
        input.holders.push_back(
            { instance, known.lastIncarnation, known.demandPerSecond, known.confirmedVersion, isExpired });
    }
    for (const auto& row : state.table->floors) {
        if (!state.reporters.contains(row.instance))
            input.holders.push_back({ row.instance, row.holderIncarnation, 0, 0, state.heldSince + hold < now });
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

void allocator::read(monotonic_time now, customer_allocation& state)
{
    state.isReadWanted = false;
    state.readPause = std::clamp(state.readPause * 2, m_settings.retryRead, longestReadPause);
    // Spread over instances, so that nobody stampedes after an outage.
    const auto spread = std::hash<std::string> {}(m_self.value() + state.customer.value());
    const auto jitter = milliseconds(spread % static_cast<std::size_t>(state.readPause.count()));
    state.nextRead = now + state.readPause / 2 + jitter;
    state.isCallOpen = true;
    m_calls.push_back({ state.customer, std::nullopt, 0 });
}

void allocator::write(monotonic_time now, customer_allocation& state, allocation_table next)
{
    next.writer = m_self.value() + "/" + std::to_string(m_incarnation);
    next.writeNumber = ++m_writeNumber;
    state.isCallOpen = true;
    state.isWritingFresh = false;
    state.callBegan = now;
    state.writing = next;
    state.writingOver = state.storedVersion;
    m_calls.push_back({ state.customer, std::move(next), state.storedVersion });
}

void allocator::writeAgain(customer_allocation& state)
{
    state.isCallOpen = true;
    m_calls.push_back({ state.customer, state.writing, state.writingOver });
}

void allocator::adopt(
    monotonic_time now, customer_allocation& state, const allocation_table& table, object_version version)
{
    if (state.table && version == state.storedVersion) {
        assign(now, state, m_self, 0);
        return;
    }
    const bool wasHolder = isHolder(state);
    const bool isOwnWrite
        = state.writing && state.writing->writer == table.writer && state.writing->writeNumber == table.writeNumber;
    const bool isNewEpoch = !state.table || state.table->epoch != table.epoch;
    state.isFresh = isNewEpoch ? isOwnWrite && state.isWritingFresh : state.isFresh;
    state.table = table;
    state.storedVersion = version;
    state.seenSince = now;
    state.writing.reset();
    state.isReadWanted = false;
    state.readPause = milliseconds { 0 };
    if (isOwnWrite)
        state.writtenAt = state.callBegan;
    else
        state.writtenAt = never;
    if (isHolder(state) && !wasHolder) {
        state.heldSince = now;
        // An earlier control process here may have let the pool run until then.
        state.leasedUntil = now + m_settings.promiseHold;
        // A late write of such a process may have taken the table from a holder with a promise of this one.
        if (!isOwnWrite)
            state.rightFrom = m_promises.lastGiven() + m_settings.promiseHold + m_settings.clockDrift;
        state.reporters.clear();
        state.planUntil = now + firstPlanDelay - m_settings.resplitInterval;
    }
    if (isNewEpoch)
        state.confirmedPoolVersion = 0;
    state.nextLease = never;
    announce(now, state);
    const auto& holder = table.pool.instance;
    if (wasHolder && isOwnWrite && !holder.empty() && holder != m_self) {
        m_messages.push_back(
            { holder, process_role::control, holder_ping { 0, m_incarnation, false, { state.customer.value() } } });
    }
}

void allocator::onStoreAnswer(monotonic_time now, const store_answer& answer)
{
    const auto found = m_customers.find(answer.customer);
    if (found == m_customers.end() || !found->second.isCallOpen)
        return;
    auto& state = found->second;
    state.isCallOpen = false;
    switch (answer.outcome) {
    case store_outcome::done:
        if (answer.table && state.writing && answer.version == state.writingOver)
            writeAgain(state);
        else if (answer.table)
            adopt(now, state, *answer.table, answer.version);
        else if (state.writing)
            adopt(now, state, allocation_table(*state.writing), answer.version);
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

void allocator::forgetIdle(monotonic_time now)
{
    std::erase_if(m_customers, [&](const auto& entry) {
        const auto& state = entry.second;
        const bool isNamed = state.table && (isHolder(state) || state.table->successor == m_self);
        return !isNamed && !state.isCallOpen && state.heardOwnAt + idleTableHold < now
            && state.seenSince + idleTableHold < now && !state.isReadWanted;
    });
}

std::vector<limit_message> allocator::takeMessages() { return std::exchange(m_messages, {}); }

std::vector<store_call> allocator::takeStoreCalls() { return std::exchange(m_calls, {}); }

} // namespace flamingoroute
