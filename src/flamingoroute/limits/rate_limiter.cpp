#include "flamingoroute/limits/rate_limiter.hpp"

#include "flamingoroute/limits/lease_notice.hpp"
#include "flamingoroute/limits/message_batches.hpp"
#include "flamingoroute/peers/message_body.hpp"

#include <algorithm>
#include <variant>

namespace flamingoroute {

namespace {

constexpr milliseconds heartbeatInterval { 500 };
/// A decision may be made by the next tick, so it may be this much later than the end of the wait.
constexpr milliseconds decisionDelay { 100 };

} // namespace

rate_limiter::rate_limiter(
    instance_id localInstance, incarnation localIncarnation, const limit_settings& settings, message_sender send)
    : m_localInstance(std::move(localInstance))
    , m_incarnation(localIncarnation)
    , m_settings(settings)
    , m_send(std::move(send))
{
}

bool rate_limiter::isLimited(const customer_id& customer) const
{
    const std::shared_lock lock(m_mutex);
    return m_limited.contains(customer);
}

rate_limiter::slot_ptr rate_limiter::findSlot(const customer_id& customer) const
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_slots.find(customer);
    return found == m_slots.end() ? nullptr : found->second;
}

rate_limiter::slot_ptr rate_limiter::slotOf(const customer_id& customer)
{
    if (auto known = findSlot(customer))
        return known;
    const std::unique_lock lock(m_mutex);
    auto& slot = m_slots[customer];
    if (!slot)
        slot = std::make_shared<customer_slot>(customer, m_localInstance, m_incarnation, m_settings, monotonicNow());
    return slot;
}

tl::expected<void, refusal> rate_limiter::admit(const customer_id& customer, monotonic_time deadline)
{
    if (!isLimited(customer))
        return {};
    const auto request = ++m_lastRequest;
    const auto slot = slotOf(customer);
    std::unique_lock lock(slot->mutex);
    switch (slot->machine.requestToken(monotonicNow(), request, deadline)) {
    case admission::admitted:
        return {};
    case admission::refused:
        return tl::unexpected(overRate(*slot));
    case admission::waiting:
        break;
    }
    return waitForDecision(*slot, lock, request, deadline);
}

tl::expected<void, refusal> rate_limiter::waitForDecision(
    customer_slot& slot, std::unique_lock<std::mutex>& lock, std::uint64_t request, monotonic_time deadline)
{
    slot.waiting.insert(request);
    const auto messages = settle(slot);
    lock.unlock();
    sendBatches(messages, m_send);
    lock.lock();
    const auto until
        = std::min<monotonic_time>(deadline, monotonicNow() + std::max(m_settings.maxWait, m_settings.maxColdWait))
        + decisionDelay;
    slot.decided.wait_until(lock, until, [&] { return slot.decisions.contains(request); });
    slot.waiting.erase(request);
    const auto decision = slot.decisions.extract(request);
    if (decision.empty())
        slot.machine.cancel(request);
    if (!decision.empty() && decision.mapped())
        return {};
    return tl::unexpected(overRate(slot));
}

refusal rate_limiter::overRate(customer_slot& slot)
{
    refusal result;
    result.reason = refusal_reason::over_rate;
    result.execution = execution_state::not_run;
    result.step = "limits.admit";
    result.detail = "the customer's rate and burst are exhausted";
    result.retryAfter = slot.machine.retryAfter(monotonicNow());
    return result;
}

std::vector<limit_message> rate_limiter::settle(customer_slot& slot) const
{
    for (const auto& decision : slot.machine.takeDecisions()) {
        if (slot.waiting.contains(decision.request))
            slot.decisions[decision.request] = decision.isAdmitted;
    }
    if (!slot.decisions.empty())
        slot.decided.notify_all();
    auto messages = slot.machine.takeMessages();
    setLoanReceivers(messages);
    if (!slot.machine.isPoolKnown())
        copyReportsToPeer(messages);
    return messages;
}

/// Sets a receiver for messages that may go to any other instance, and drops them if there is none.
void rate_limiter::setLoanReceivers(std::vector<limit_message>& messages) const
{
    for (auto& message : messages) {
        if (message.to.empty() && m_selectPeer)
            message.to = m_selectPeer();
    }
    std::erase_if(messages, [](const limit_message& message) { return message.to.empty(); });
}

/// Sends reports to the control process of another instance as well, which responds if it has read the table.
void rate_limiter::copyReportsToPeer(std::vector<limit_message>& messages) const
{
    const instance_id peer = m_selectPeer ? m_selectPeer() : instance_id {};
    if (peer.empty())
        return;
    std::vector<limit_message> copies;
    for (const auto& message : messages) {
        if (message.to == m_localInstance && std::holds_alternative<usage_report>(message.body))
            copies.push_back({ peer, message.role, message.body });
    }
    messages.insert(messages.end(), copies.begin(), copies.end());
}

void rate_limiter::adopt(const configuration& current)
{
    {
        const std::unique_lock lock(m_mutex);
        m_limited.clear();
        for (const auto& limit : current.rates)
            m_limited.insert(limit.customer);
    }
    if (!m_settings.keepsFloorWithoutDemand)
        return;
    for (const auto& limit : current.rates)
        slotOf(limit.customer);
}

bool rate_limiter::hasFloors() const
{
    const std::shared_lock lock(m_mutex);
    return std::all_of(m_limited.begin(), m_limited.end(), [this](const customer_id& customer) {
        const auto found = m_slots.find(customer);
        if (found == m_slots.end())
            return false;
        const std::lock_guard slotLock(found->second->mutex);
        return found->second->machine.hasFloor(monotonicNow());
    });
}

template <typename Use> void rate_limiter::useSlot(const slot_ptr& slot, Use use)
{
    std::vector<limit_message> messages;
    {
        const std::lock_guard lock(slot->mutex);
        use(slot->machine);
        messages = settle(*slot);
    }
    sendBatches(messages, m_send);
}

template <typename Body, typename Use> void rate_limiter::receiveAll(const envelope& message, Use use)
{
    const auto bodies = unpackMessage<std::vector<Body>>(message.body);
    if (!bodies)
        return;
    for (const auto& body : *bodies) {
        if (const auto slot = findSlot(customer_id(body.customer)))
            useSlot(slot, [&](share_machine& machine) { use(machine, body); });
    }
}

void rate_limiter::applyAssignment(const envelope& message, const share_assignment& assignment)
{
    if (const auto slot = findSlot(customer_id(assignment.customer))) {
        useSlot(slot, [&](share_machine& machine) { machine.onAssignment(monotonicNow(), assignment); });
    } else if (assignment.isFromAllocator) {
        sendBatches(
            { { message.from, process_role::control, reportWithoutShares(assignment, m_incarnation) } }, m_send);
    }
}

void rate_limiter::receive(const envelope& message)
{
    if (message.kind == message_kind::share_request) {
        receiveAll<share_request>(message, [&](share_machine& machine, const share_request& request) {
            machine.onRequest(monotonicNow(), message.from, request);
        });
    } else if (message.kind == message_kind::share_grant) {
        receiveAll<share_grant>(
            message, [](share_machine& machine, const share_grant& grant) { machine.onGrant(monotonicNow(), grant); });
    } else if (message.kind == message_kind::share_table) {
        const auto assignments = unpackMessage<std::vector<share_assignment>>(message.body);
        for (const auto& assignment : assignments.value_or(std::vector<share_assignment> {}))
            applyAssignment(message, assignment);
    } else if (message.kind == message_kind::lease_notice && message.from == m_localInstance) {
        const auto notice = unpackMessage<lease_notice>(message.body).value_or(lease_notice {});
        for (const auto& lease : notice.pools) {
            useSlot(slotOf(customer_id(lease.customer)),
                [&](share_machine& machine) { machine.onLease(monotonicNow(), lease); });
        }
    }
}

void rate_limiter::sendHeartbeat(std::vector<limit_message>& messages)
{
    if (monotonicNow() < m_nextHeartbeat)
        return;
    m_nextHeartbeat = monotonicNow() + heartbeatInterval;
    usage_report heartbeat;
    heartbeat.senderIncarnation = m_incarnation;
    messages.push_back({ m_localInstance, process_role::control, heartbeat });
}

void rate_limiter::tick()
{
    std::map<customer_id, slot_ptr> slots;
    {
        const std::shared_lock lock(m_mutex);
        slots = m_slots;
    }
    std::vector<limit_message> messages;
    sendHeartbeat(messages);
    std::vector<customer_id> idle;
    for (const auto& [customer, slot] : slots) {
        const std::lock_guard lock(slot->mutex);
        slot->machine.tick(monotonicNow());
        for (auto& message : settle(*slot))
            messages.push_back(std::move(message));
        const bool isKept = m_settings.keepsFloorWithoutDemand && isLimited(customer);
        if (!isKept && slot->waiting.empty() && slot->machine.isRemovable(monotonicNow()))
            idle.push_back(customer);
    }
    sendBatches(messages, m_send);
    slots.clear();
    const std::unique_lock lock(m_mutex);
    for (const auto& customer : idle) {
        const auto found = m_slots.find(customer);
        // Another thread may be using the slot to request a token; it is then removed later.
        if (found != m_slots.end() && found->second.use_count() == 1)
            m_slots.erase(found);
    }
}

} // namespace flamingoroute
