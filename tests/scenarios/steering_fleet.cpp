#include "steering_fleet.hpp"

#include <algorithm>

namespace flamingoroute::testing {

namespace {

constexpr microseconds tickInterval { 10'000 };
constexpr microseconds leaseInterval { 1'000'000 };
constexpr microseconds leaseDuration { 3'000'000 };
constexpr microseconds probeInterval { 1'000'000 };
constexpr microseconds delayInDomain { 100 };
constexpr microseconds delayInRegion { 250 };
constexpr int maxAttempts = 3;
constexpr std::size_t envelopeBytes = 40;

const service_id serviceName { "desk" };
const version_id versionName { "v1" };

} // namespace

steering_fleet::steering_fleet(fleet_layout layout, std::uint64_t seed)
    : m_layout(layout)
    , m_generator(seed)
{
    build(layout);
    for (auto& [name, which] : m_nodes)
        startNode(which);
    renewLeases();
    tickAll();
}

void steering_fleet::build(const fleet_layout& layout)
{
    service desk;
    desk.name = serviceName;
    desk.currentVersion = versionName;
    desk.routes.push_back({ "all", "/", {}, true, false, false, request_class::interactive, layout.deadline });
    m_configuration->services.push_back(desk);
    for (int r = 1; r <= layout.regions; ++r) {
        region place { region_id("r" + std::to_string(r)), {} };
        for (int other = 1; other < r; ++other)
            place.links.push_back(
                { region_id("r" + std::to_string(other)), layout.regionDistance * (r - other), layout.linkMegabits });
        m_configuration->regions.push_back(place);
        for (int d = 1; d <= layout.domains; ++d) {
            const failure_domain_id domain(place.name.value() + "d" + std::to_string(d));
            m_configuration->failureDomains.push_back({ domain, place.name });
            for (int i = 1; i <= layout.instances; ++i)
                m_members.push_back(
                    { instance_id(domain.value() + "i" + std::to_string(i)), domain, place.name, {}, {}, {} });
            for (int u = 1; u <= layout.upstreams; ++u) {
                upstream target;
                target.name = upstream_id(domain.value() + "u" + std::to_string(u));
                target.service = serviceName;
                target.version = versionName;
                target.failureDomain = domain;
                target.slots = layout.slots;
                m_configuration->upstreams.push_back(target);
                m_upstreams[target.name].object = target;
                m_upstreams[target.name].place = place.name;
            }
        }
    }
    for (const auto& self : m_members)
        m_nodes[self.instance].self = self;
}

void steering_fleet::startNode(node& which)
{
    which.isRunning = true;
    which.isPaused = false;
    which.deferred.clear();
    const steering_identity self { which.self.instance, which.run, which.self.failureDomain, which.self.region };
    which.core = std::make_unique<steering_core>(
        self, steering_settings {}, [this](std::size_t bound) { return m_generator() % bound; });
    which.core->setMembers(m_members);
    which.core->adopt(m_configuration, time());
}

void steering_fleet::advanceTo(microseconds now)
{
    while (true) {
        const auto nextTick = (m_now / tickInterval + 1) * tickInterval;
        auto next = std::min(now, nextTick);
        if (!m_events.empty())
            next = std::min(next, m_events.begin()->first);
        for (const auto& [customer, flow] : m_loads)
            next = std::min(next, std::max(flow.next, m_now));
        m_now = next;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
        }
        sendDue();
        if (m_now == nextTick)
            tickAll();
        if (m_now >= now)
            return;
    }
}

void steering_fleet::tickAll()
{
    if (m_now % leaseInterval == microseconds { 0 })
        renewLeases();
    for (auto& [name, which] : m_nodes) {
        if (!which.isRunning || which.isPaused)
            continue;
        if (m_now % probeInterval == microseconds { 0 })
            probe(which);
        which.core->tick(time());
        settle(which);
    }
}

void steering_fleet::renewLeases()
{
    if (!m_isPlatformUp)
        return;
    for (auto& [name, which] : m_nodes) {
        if (!which.isRunning || which.isPaused || isPartitioned(name.value(), "platform"))
            continue;
        const auto& domain = which.self.failureDomain;
        auto& current = m_leases[domain];
        if (current.holder == name && current.run == which.run) {
            current.renewedAt = m_now;
            if (!which.core->ledger().hasReserve())
                current.predecessors.clear();
            which.core->confirmLease(time());
        } else if (current.holder.empty() || current.holder == name || m_now - current.renewedAt > leaseDuration) {
            acquireLease(domain, which);
        } else {
            which.core->updateAllocator(current.holder, current.epoch, time());
        }
    }
}

void steering_fleet::acquireLease(const failure_domain_id& domain, node& newHolder)
{
    auto& current = m_leases[domain];
    const bool isFirst = current.holder.empty();
    if (!isFirst)
        current.predecessors.emplace_back(current.holder, current.run);
    current.holder = newHolder.self.instance;
    current.run = newHolder.run;
    current.renewedAt = m_now;
    ++current.epoch;
    newHolder.core->beginAllocating({ current.epoch, isFirst, current.predecessors }, time());
    settle(newHolder);
}

void steering_fleet::startLoad(
    const std::string& customer, request_class kind, const std::string& place, double perSecond)
{
    m_loads[customer] = { kind, place, perSecond, m_now };
}

void steering_fleet::sendDue()
{
    for (auto& [customer, flow] : m_loads) {
        while (flow.next <= m_now) {
            std::vector<node*> nodes;
            for (auto& [name, which] : m_nodes) {
                if (which.isRunning && name.value().starts_with(flow.place))
                    nodes.push_back(&which);
            }
            const double gap = std::exponential_distribution<double>(flow.perSecond)(m_generator);
            flow.next += microseconds(1 + static_cast<std::int64_t>(gap * 1e6));
            if (nodes.empty())
                continue;
            request what;
            what.customer = customer;
            what.sentAt = m_now;
            what.wish.service = serviceName;
            what.wish.version = versionName;
            what.wish.customer = customer_id(customer);
            what.wish.requestClass = flow.kind;
            what.wish.deadline = time() + m_layout.deadline;
            ++m_tallies[customer].sent;
            submit(*nodes[m_generator() % nodes.size()], what);
        }
    }
}

void steering_fleet::runOrDefer(node& which, std::function<void()> what)
{
    if (which.isPaused)
        which.deferred.push_back(std::move(what));
    else if (which.isRunning)
        what();
}

void steering_fleet::submit(node& where, request what)
{
    runOrDefer(where, [this, &where, what] {
        const auto ticket = ++m_lastTicket;
        m_waiting[{ where.self.instance, ticket }] = what;
        where.core->enqueue(ticket, what.wish, time());
        settle(where);
    });
}

/// Starts the requests that received a slot, counts the refused ones and sends pending messages.
void steering_fleet::settle(node& where)
{
    for (const auto& settled : where.core->takeDecided()) {
        const auto found = m_waiting.find({ where.self.instance, settled.ticket });
        if (found == m_waiting.end())
            continue;
        const auto what = found->second;
        m_waiting.erase(found);
        auto& tally = m_tallies[what.customer];
        if (settled.result) {
            attempt(where, what, *settled.result);
        } else {
            ++tally.refused;
            ++tally.reasons[settled.result.error().detail];
        }
    }
    for (const auto& message : where.core->takeMessages())
        deliver(where.self.instance, message);
}

void steering_fleet::deliver(const instance_id& from, const steering_message& message)
{
    ++m_messageCount;
    m_messageBytes += message.body.size() + envelopeBytes;
    const auto target = m_nodes.find(message.to);
    if (target == m_nodes.end() || random() < m_lossShare)
        return;
    const auto& sender = m_nodes.at(from).self;
    auto& receiver = target->second;
    const int copies = random() < m_doubleShare ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay
            = oneWayDelay(sender.region, sender.failureDomain, receiver.self.region, receiver.self.failureDomain);
        const auto late = microseconds(static_cast<std::int64_t>(random() * static_cast<double>(m_extraDelay.count())));
        at(m_now + delay + late, [this, from, message, &receiver] {
            if (isPartitioned(from.value(), receiver.self.instance.value()))
                return;
            runOrDefer(receiver, [this, from, message, &receiver] {
                receiver.core->receive(from, message.kind, message.body, time());
                settle(receiver);
            });
        });
    }
}

void steering_fleet::attempt(node& where, const request& what, const chosen_upstream& chosen)
{
    auto next = what;
    ++next.attempts;
    const auto& target = m_upstreams.at(chosen.target.name);
    const auto delay
        = oneWayDelay(where.self.region, where.self.failureDomain, target.place, target.object.failureDomain);
    if (isPartitioned(where.self.instance.value(), target.object.name.value())) {
        attempt_result failed;
        at(m_now + delay, [this, &where, next, chosen, failed] { answer(where, next, chosen, failed); });
        return;
    }
    at(m_now + delay, [this, &where, next, chosen, delay] { arrive(where, next, chosen, delay); });
}

void steering_fleet::arrive(node& where, request what, const chosen_upstream& chosen, microseconds delay)
{
    auto& target = m_upstreams.at(chosen.target.name);
    attempt_result result;
    const bool isRefusing = target.isLeaving || std::exchange(target.isLeavingOnce, false);
    if (target.isBroken || isRefusing) {
        result.outcome = target.isBroken ? attempt_outcome::not_sent : attempt_outcome::refused;
        result.isUpstreamLeaving = isRefusing;
        at(m_now + delay, [this, &where, what, chosen, result] { answer(where, what, chosen, result); });
        return;
    }
    ++target.busy;
    target.lastStart = m_now;
    target.maxOverload = std::max(target.maxOverload, target.busy - target.object.slots);
    const double factor = (0.5 + random()) * target.slowness;
    const auto service = microseconds(
        static_cast<std::int64_t>(static_cast<double>(microseconds(m_layout.serviceTime).count()) * factor));
    const auto endAt = std::min(m_now + service, what.sentAt + m_layout.deadline);
    result.outcome = endAt == m_now + service ? attempt_outcome::answered : attempt_outcome::unknown;
    result.duration = endAt - m_now + 2 * delay;
    at(endAt, [this, &where, what, chosen, result, delay, &target]() mutable {
        --target.busy;
        result.reportedLoad = target.frozenLoad.value_or(static_cast<double>(target.busy) / target.object.slots);
        result.answer.body.resize(static_cast<std::size_t>(m_layout.answerBytes));
        if (target.place != where.self.region)
            m_linkBytes[{ target.place, where.self.region }][m_now / microseconds { 1'000'000 }]
                += m_layout.answerBytes;
        at(m_now + delay, [this, &where, what, chosen, result] { answer(where, what, chosen, result); });
    });
}

void steering_fleet::answer(node& where, const request& what, const chosen_upstream& chosen, attempt_result result)
{
    const auto run = where.run;
    runOrDefer(where, [this, &where, what, chosen, result, run] {
        if (where.run != run)
            return;
        where.core->release(chosen, result, time());
        settle(where);
        auto& tally = m_tallies[what.customer];
        if (result.outcome == attempt_outcome::answered) {
            ++tally.answered;
            tally.latenciesMs.push_back(static_cast<double>((m_now - what.sentAt).count()) / 1000);
        } else if (result.outcome != attempt_outcome::unknown && what.attempts < maxAttempts) {
            auto again = what;
            again.wish.tried.push_back(chosen.target.name);
            submit(where, again);
        } else {
            ++tally.failed;
        }
    });
}

void steering_fleet::probe(node& where)
{
    for (const auto& object : where.core->upstreamsToProbe()) {
        const auto& target = m_upstreams.at(object.name);
        if (isPartitioned(where.self.instance.value(), object.name.value()))
            continue;
        probe_answer answered;
        answered.isReached = !target.isBroken || target.isHealthAlwaysOk;
        answered.isLeaving = (target.isLeaving || target.isLeavingByHealthOnly) && !target.isHealthAlwaysOk;
        answered.load = target.frozenLoad.value_or(static_cast<double>(target.busy) / object.slots);
        where.core->recordProbe(object.name, answered, time());
    }
}

bool steering_fleet::isPartitioned(const std::string& one, const std::string& other) const
{
    return std::any_of(m_partitions.begin(), m_partitions.end(), [&](const auto& line) {
        const bool isForward = one.starts_with(line.first) && other.starts_with(line.second);
        const bool isBackward = one.starts_with(line.second) && other.starts_with(line.first);
        return isForward || isBackward;
    });
}

microseconds steering_fleet::oneWayDelay(const region_id& one, const failure_domain_id& oneDomain,
    const region_id& other, const failure_domain_id& otherDomain) const
{
    if (oneDomain == otherDomain)
        return delayInDomain;
    if (one == other)
        return delayInRegion;
    for (const auto& place : m_configuration->regions) {
        for (const auto& link : place.links) {
            if ((place.name == one && link.to == other) || (place.name == other && link.to == one))
                return microseconds(link.distance) / 2;
        }
    }
    return delayInRegion;
}

void steering_fleet::kill(const std::string& instance)
{
    auto& which = m_nodes.at(instance_id(instance));
    which.isRunning = false;
    std::erase_if(m_waiting, [&](const auto& item) { return item.first.first == which.self.instance; });
}

void steering_fleet::restart(const std::string& instance)
{
    kill(instance);
    auto& which = m_nodes.at(instance_id(instance));
    ++which.run;
    startNode(which);
}

void steering_fleet::pause(const std::string& instance, bool isPaused)
{
    auto& which = m_nodes.at(instance_id(instance));
    which.isPaused = isPaused;
    if (isPaused)
        return;
    for (auto& what : std::exchange(which.deferred, {}))
        what();
}

void steering_fleet::changeConfiguration(const std::function<void(configuration&)>& change)
{
    auto next = std::make_shared<configuration>(*m_configuration);
    change(*next);
    ++next->number;
    m_configuration = next;
    for (auto& [name, which] : m_nodes) {
        runOrDefer(which, [this, &which = which] {
            which.core->adopt(m_configuration, time());
            settle(which);
        });
    }
}

void steering_fleet::setWeight(const std::string& customer, int weight)
{
    changeConfiguration([&](configuration& next) { next.customers.push_back({ customer_id(customer), weight }); });
}

std::vector<fake_upstream*> steering_fleet::upstreamsAt(const std::string& prefix)
{
    std::vector<fake_upstream*> result;
    for (auto& [name, target] : m_upstreams) {
        if (name.value().starts_with(prefix))
            result.push_back(&target);
    }
    return result;
}

double steering_fleet::maxLinkBytes(const std::string& from, const std::string& to) const
{
    const auto found = m_linkBytes.find({ region_id(from), region_id(to) });
    double worst = 0;
    if (found != m_linkBytes.end()) {
        for (const auto& [second, bytes] : found->second)
            worst = std::max(worst, bytes);
    }
    return worst;
}

} // namespace flamingoroute::testing
