#include "limits_fleet.hpp"

#include "flamingoroute/peers/message_body.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

constexpr milliseconds tickInterval { 10 };
constexpr milliseconds helloInterval { 1000 };
constexpr microseconds localDelay { 100 };
constexpr microseconds storeDelay { 2000 };
constexpr milliseconds storeTimeout { 1000 };
constexpr milliseconds requestDeadline { 2000 };

} // namespace

std::vector<member> nineInstanceFleet()
{
    std::vector<member> members;
    for (const std::string region : { "a", "b", "c" }) {
        for (const std::string name : { "1-1", "1-2", "2-1" }) {
            member one;
            one.instance = instance_id(region + name);
            one.failureDomain = failure_domain_id(region + name.substr(0, 1));
            one.region = region_id(region);
            members.push_back(one);
        }
    }
    return members;
}

limits_fleet::limits_fleet(std::uint64_t seed, std::vector<member> members, const limit_settings& settings)
    : m_random(seed)
    , m_settings(settings)
    , m_members(std::move(members))
{
    for (const auto& one : m_members)
        m_nodes[one.instance].self = one;
    for (const auto& one : m_members) {
        startEntry(one.instance);
        startControl(one.instance);
        schedule(m_now + microseconds(m_random() % 10000), [this, id = one.instance] { tick(m_nodes.at(id)); });
    }
}

limits_fleet::~limits_fleet() = default;

void limits_fleet::schedule(monotonic_time at, std::function<void()> run)
{
    m_events.push({ at, ++m_eventNumber, std::move(run) });
}

void limits_fleet::advanceTo(monotonic_time until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.run();
    }
    m_now = until;
}

void limits_fleet::startEntry(const instance_id& instance)
{
    auto& here = m_nodes.at(instance);
    here.isEntryUp = true;
    here.entryIncarnation = ++m_incarnation;
    here.nextHello = m_now;
}

void limits_fleet::startControl(const instance_id& instance)
{
    auto& here = m_nodes.at(instance);
    here.isControlUp = true;
    here.controlIncarnation = ++m_incarnation;
    here.control = std::make_unique<allocator>(instance, here.controlIncarnation, m_settings);
    here.control->onMembers(m_members);
    std::vector<rate_limit> limits;
    for (const auto& [customer, state] : m_customers)
        limits.push_back(state.limit);
    here.control->onLimits(limits, m_revision);
}

void limits_fleet::killEntry(const instance_id& instance)
{
    auto& here = m_nodes.at(instance);
    here.isEntryUp = false;
    here.machines.clear();
}

void limits_fleet::killControl(const instance_id& instance)
{
    auto& here = m_nodes.at(instance);
    here.isControlUp = false;
    here.control.reset();
}

void limits_fleet::pause(const instance_id& instance) { m_nodes.at(instance).isPaused = true; }

void limits_fleet::resume(const instance_id& instance)
{
    auto& here = m_nodes.at(instance);
    here.isPaused = false;
    for (auto& run : std::exchange(here.deferred, {}))
        run();
}

void limits_fleet::setLimit(const customer_id& customer, double perSecond, int burst)
{
    auto& state = m_customers[customer];
    state.limit = { "limit", customer, perSecond, burst };
    const auto size = static_cast<int>(m_members.size());
    for (int i = 0; i < size; ++i) {
        const share part { perSecond / size, burst / size + (i < burst % size ? 1 : 0) };
        state.staticSplit[m_members[static_cast<std::size_t>(i)].instance].setShare(m_now, part);
        state.staticSplitWaiting[m_members[static_cast<std::size_t>(i)].instance].bucket.setShare(m_now, part);
    }
    state.ideal.setShare(m_now, { perSecond, burst });
    updateMeterLimit(customer);
    ++m_revision;
    std::vector<rate_limit> limits;
    for (const auto& [name, other] : m_customers)
        limits.push_back(other.limit);
    for (auto& [name, here] : m_nodes) {
        if (here.control)
            here.control->onLimits(limits, m_revision);
    }
}

void limits_fleet::updateMeterLimit(const customer_id& customer)
{
    auto& state = m_customers.at(customer);
    const share held = reserved(customer);
    state.meter.setLimit(
        m_now, { std::max(state.limit.perSecond, held.perSecond), std::max(state.limit.burst, held.depth) });
}

void limits_fleet::setDemand(const customer_id& customer, const instance_id& at, double perSecond)
{
    auto& state = m_customers.at(customer);
    state.demand[at] = perSecond;
    scheduleArrival(customer, at, ++state.demandNumber[at]);
}

void limits_fleet::scheduleArrival(const customer_id& customer, const instance_id& at, std::uint64_t number)
{
    const double perSecond = m_customers.at(customer).demand[at];
    if (perSecond <= 0)
        return;
    const std::chrono::duration<double> gap(-std::log(1 - chance()) / perSecond);
    schedule(m_now + std::chrono::duration_cast<microseconds>(gap), [this, customer, at, number] {
        if (m_customers.at(customer).demandNumber[at] != number)
            return;
        sendRequest(customer, at);
        scheduleArrival(customer, at, number);
    });
}

share_machine& limits_fleet::machineAt(node& here, const customer_id& customer)
{
    auto& machine = here.machines[customer];
    if (!machine)
        machine
            = std::make_unique<share_machine>(customer, here.self.instance, here.entryIncarnation, m_settings, m_now);
    return *machine;
}

void limits_fleet::sendRequest(const customer_id& customer, const instance_id& at)
{
    auto& here = m_nodes.at(at);
    // Callers of a stopped or paused instance would retry on another instance; that is not simulated.
    if (!here.isEntryUp || here.isPaused)
        return;
    auto& state = m_customers.at(customer);
    ++state.count.offered;
    sendToBaselines(state, at);
    auto& machine = machineAt(here, customer);
    const auto result = machine.requestToken(m_now, ++m_requestNumber, m_now + requestDeadline);
    if (result == admission::admitted) {
        ++state.count.admitted;
        state.meter.recordAdmission(m_now);
    } else if (result == admission::refused) {
        ++state.count.refused;
    }
    flushMachine(here, customer, machine);
}

void limits_fleet::sendToBaselines(customer_state& state, const instance_id& at)
{
    state.ideal.advance(m_now);
    state.count.ideal += state.ideal.tryTake(1) ? 1 : 0;
    auto& part = state.staticSplit[at];
    part.advance(m_now);
    state.count.staticSplit += part.tryTake(1) ? 1 : 0;
    state.staticSplitWaiting[at].waiting.push(m_now + m_settings.maxWait);
    serveStaticSplit(state);
}

void limits_fleet::serveStaticSplit(customer_state& state)
{
    for (auto& [instance, part] : state.staticSplitWaiting) {
        part.bucket.advance(m_now);
        while (!part.waiting.empty()) {
            const bool isLate = part.waiting.front() < m_now;
            if (!isLate && !part.bucket.tryTake(1))
                break;
            part.waiting.pop();
            state.count.staticSplitWaiting += isLate ? 0 : 1;
        }
    }
}

void limits_fleet::tick(node& here)
{
    schedule(m_now + tickInterval, [this, &here] { tick(here); });
    if (here.self.instance == m_members.front().instance) {
        for (auto& [customer, state] : m_customers) {
            serveStaticSplit(state);
            updateMeterLimit(customer);
        }
    }
    if (here.isPaused)
        return;
    if (here.isEntryUp) {
        for (auto& [customer, machine] : here.machines)
            machine->tick(m_now);
        std::erase_if(here.machines, [this](const auto& entry) { return entry.second->isRemovable(m_now); });
        if (m_now >= here.nextHello) {
            here.nextHello = m_now + helloInterval;
            usage_report hello;
            hello.senderIncarnation = here.entryIncarnation;
            transmit(here, here.entryIncarnation, { here.self.instance, process_role::control, hello });
        }
    }
    if (here.isControlUp)
        here.control->tick(m_now);
    flush(here);
}

void limits_fleet::flush(node& here)
{
    for (auto& [customer, machine] : here.machines)
        flushMachine(here, customer, *machine);
    if (!here.control)
        return;
    for (auto& message : here.control->takeMessages())
        transmit(here, here.controlIncarnation, std::move(message));
    for (auto& call : here.control->takeStoreCalls())
        callStore(here, std::move(call));
}

void limits_fleet::flushMachine(node& here, const customer_id& customer, share_machine& machine)
{
    auto& state = m_customers.at(customer);
    for (const auto& decision : machine.takeDecisions()) {
        if (decision.isAdmitted) {
            ++state.count.admitted;
            state.meter.recordAdmission(m_now);
        } else {
            ++state.count.refused;
        }
    }
    for (auto& message : machine.takeMessages())
        transmit(here, here.entryIncarnation, std::move(message));
}

microseconds limits_fleet::delayBetween(const member& from, const member& to)
{
    if (from.instance == to.instance)
        return localDelay;
    const auto base = from.region == to.region ? faults.domainDelay : faults.regionDelay;
    return base + microseconds(static_cast<std::int64_t>(chance() * static_cast<double>(faults.jitter.count())));
}

void limits_fleet::transmit(const node& from, std::uint64_t fromIncarnation, limit_message message)
{
    if (message.to.empty())
        message.to = m_members[m_random() % m_members.size()].instance;
    if (message.to == from.self.instance && std::holds_alternative<share_request>(message.body))
        return;
    if (!m_nodes.contains(message.to))
        return;
    const auto& to = m_nodes.at(message.to);
    const bool isLocal = from.self.instance == message.to;
    if (!isLocal) {
        const auto bytes = std::visit([](const auto& body) { return packMessage(body).size(); }, message.body);
        for (auto& [customer, state] : m_customers) {
            ++state.count.messages;
            state.count.messageBytes += bytes;
        }
    }
    if (!isLocal && chance() < faults.loss)
        return;
    const int copies = !isLocal && chance() < faults.duplicated ? 2 : 1;
    (void)fromIncarnation;
    for (int i = 0; i < copies; ++i) {
        schedule(m_now + delayBetween(from.self, to.self),
            [this, sender = from.self.instance, message] { deliver(sender, message); });
    }
}

bool limits_fleet::isPartitioned(const std::string& left, const std::string& right) const
{
    if (left == right)
        return false;
    return m_partitions.contains({ left, right }) || m_partitions.contains({ right, left })
        || m_partitions.contains({ left, "peers" }) || m_partitions.contains({ right, "peers" });
}

void limits_fleet::partition(const std::string& domain, const std::string& other)
{
    m_partitions.insert({ domain, other });
}

void limits_fleet::rejoin(const std::string& domain)
{
    std::erase_if(m_partitions, [&](const auto& pair) { return pair.first == domain || pair.second == domain; });
}

void limits_fleet::deliver(const instance_id& from, const limit_message& message)
{
    auto& here = m_nodes.at(message.to);
    if (isPartitioned(m_nodes.at(from).self.failureDomain.value(), here.self.failureDomain.value()))
        return;
    if (here.isPaused) {
        here.deferred.push_back([this, from, message] { deliver(from, message); });
        return;
    }
    if (message.role == process_role::entry && here.isEntryUp)
        deliverToEntry(here, from, message);
    if (message.role == process_role::control && here.isControlUp)
        deliverToControl(here, from, message);
    flush(here);
}

void limits_fleet::deliverToEntry(node& here, const instance_id& from, const limit_message& message)
{
    const auto find = [&](const std::string& name) -> share_machine* {
        const auto found = here.machines.find(customer_id(name));
        return found == here.machines.end() ? nullptr : found->second.get();
    };
    if (const auto* grant = std::get_if<share_grant>(&message.body)) {
        if (auto* machine = find(grant->customer))
            machine->onGrant(m_now, *grant);
    } else if (const auto* request = std::get_if<share_request>(&message.body)) {
        if (auto* machine = find(request->customer))
            machine->onRequest(m_now, from, *request);
    } else if (const auto* lease = std::get_if<pool_lease>(&message.body)) {
        machineAt(here, customer_id(lease->customer)).onLease(m_now, *lease);
    } else if (const auto* assignment = std::get_if<share_assignment>(&message.body)) {
        if (auto* machine = find(assignment->customer))
            machine->onAssignment(m_now, *assignment);
        else if (assignment->isFromAllocator)
            transmit(here, here.entryIncarnation,
                { from, process_role::control, reportWithoutShares(*assignment, here.entryIncarnation) });
    }
}

void limits_fleet::deliverToControl(node& here, const instance_id& from, const limit_message& message)
{
    if (const auto* usage = std::get_if<usage_report>(&message.body))
        here.control->onReport(m_now, from, *usage);
    else if (const auto* ping = std::get_if<holder_ping>(&message.body))
        here.control->onPing(m_now, from, *ping);
}

void limits_fleet::callStore(node& from, store_call call)
{
    if (m_customers.contains(call.customer))
        ++m_customers.at(call.customer).count.storeCalls;
    const auto id = from.self.instance;
    const auto incarnationAtCall = from.controlIncarnation;
    const auto answer = [this, id, incarnationAtCall](const store_result& result) {
        const std::function<void()> deliverResult = [this, id, incarnationAtCall, result] {
            auto& here = m_nodes.at(id);
            if (here.control && here.controlIncarnation == incarnationAtCall) {
                here.control->onStoreResult(m_now, result);
                flush(here);
            }
        };
        auto& here = m_nodes.at(id);
        if (here.isPaused)
            here.deferred.push_back(deliverResult);
        else
            deliverResult();
    };
    const auto delay = storeDelay + (from.self.region.value() == "a" ? microseconds { 0 } : faults.regionDelay);
    schedule(m_now + delay, [this, id, call, answer, delay] {
        const bool isUnreachable
            = faults.isStoreDown || m_partitions.contains({ m_nodes.at(id).self.failureDomain.value(), "platform" });
        const bool isAnswerLost = !isUnreachable && chance() < faults.lostAnswers;
        if (isUnreachable || isAnswerLost) {
            if (isAnswerLost) {
                const auto late = microseconds(
                    static_cast<std::int64_t>(chance() * static_cast<double>(faults.lateWrites.count())));
                schedule(m_now + late, [this, call] { executeCall(call); });
            }
            store_result failed { call.customer, store_outcome::failed, std::nullopt, 0 };
            schedule(m_now + storeTimeout, [answer, failed] { answer(failed); });
            return;
        }
        const auto result = executeCall(call);
        schedule(m_now + delay, [answer, result] { answer(result); });
    });
}

store_result limits_fleet::executeCall(const store_call& call)
{
    store_result answer;
    answer.customer = call.customer;
    const auto found = m_store.find(call.customer);
    if (!call.write) {
        answer.outcome = found == m_store.end() ? store_outcome::absent : store_outcome::done;
        if (found != m_store.end()) {
            answer.table = found->second.table;
            answer.version = found->second.version;
        }
        return answer;
    }
    const object_version current = found == m_store.end() ? 0 : found->second.version;
    if (current != call.expected) {
        answer.outcome = store_outcome::conflict;
        return answer;
    }
    m_store[call.customer] = { *call.write, current + 1 };
    updateMeterLimit(call.customer);
    answer.outcome = store_outcome::done;
    answer.version = current + 1;
    return answer;
}

instance_id limits_fleet::holderOf(const customer_id& customer) const
{
    const auto found = m_store.find(customer);
    return found == m_store.end() ? instance_id {} : found->second.table.pool.instance;
}

share limits_fleet::shareInUse(const customer_id& customer)
{
    share sum;
    for (auto& [name, here] : m_nodes) {
        const auto found = here.machines.find(customer);
        if (found == here.machines.end())
            continue;
        const auto part = found->second->shareInUse(m_now);
        sum.perSecond += part.perSecond;
        sum.depth += part.depth;
    }
    return sum;
}

share limits_fleet::reserved(const customer_id& customer) const
{
    const auto found = m_store.find(customer);
    return found == m_store.end() ? share {} : reservedTotal(found->second.table);
}

} // namespace flamingoroute::testing
