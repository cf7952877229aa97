#include "flamingoroute/steering/upstream_pool.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"
#include "flamingoroute/steering/steering_core.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>

namespace flamingoroute {

namespace {

/// A thread that waits for its request to be decided.
struct waiter {
    std::condition_variable decided;
    std::optional<tl::expected<chosen_upstream, refusal>> result;
};

refusal queueTimeout()
{
    refusal result;
    result.reason = refusal_reason::no_capacity;
    result.step = "steering.acquire";
    result.detail = "no slot became free in time";
    result.retryAfter = milliseconds { 1000 };
    return result;
}

} // namespace

struct upstream_pool::state {
    state(const steering_identity& self, message_sender sender, const steering_settings& settings)
        : send(std::move(sender))
        , generator(hash64(self.instance.value()) ^ self.localIncarnation)
        , core(self, settings, [this](std::size_t bound) { return generator() % bound; })
    {
    }

    /// Runs one step of the core, wakes the threads of decided requests and sends the resulting messages.
    template <typename Step> void run(Step step)
    {
        std::vector<steering_message> messages;
        {
            const std::lock_guard lock(mutex);
            step(monotonicNow());
            settleWaiters();
            messages = core.takeMessages();
        }
        sendAll(messages);
    }

    void settleWaiters()
    {
        for (auto& decided : core.takeDecided()) {
            const auto found = waiters.find(decided.ticket);
            if (found == waiters.end())
                continue;
            found->second->result = std::move(decided.result);
            found->second->decided.notify_one();
        }
    }

    void sendAll(std::vector<steering_message>& messages) const
    {
        if (!send)
            return;
        for (auto& message : messages)
            send(message.to, process_role::entry, message.kind, std::move(message.body));
    }

    message_sender send;
    std::mutex mutex;
    std::mt19937_64 generator;
    steering_core core;
    std::map<std::uint64_t, waiter*> waiters;
    std::uint64_t lastTicket = 0;
};

upstream_pool::upstream_pool(steering_identity self, message_sender send, steering_settings settings)
    : m_state(std::make_unique<state>(self, std::move(send), settings))
{
}

upstream_pool::~upstream_pool() = default;

void upstream_pool::adopt(configuration_ptr current)
{
    m_state->run([&](monotonic_time now) { m_state->core.adopt(std::move(current), now); });
}

void upstream_pool::setMembers(std::vector<member> members)
{
    m_state->run([&](monotonic_time) { m_state->core.setMembers(std::move(members)); });
}

void upstream_pool::beginAllocating(const allocator_role& role)
{
    m_state->run([&](monotonic_time now) { m_state->core.beginAllocating(role, now); });
}

void upstream_pool::endAllocating()
{
    m_state->run([&](monotonic_time now) { m_state->core.endAllocating(now); });
}

void upstream_pool::updateAllocator(const instance_id& holder, std::uint64_t epoch)
{
    m_state->run([&](monotonic_time now) { m_state->core.updateAllocator(holder, epoch, now); });
}

void upstream_pool::confirmLease(monotonic_time requestedAt)
{
    m_state->run([&](monotonic_time) { m_state->core.confirmLease(requestedAt); });
}

bool upstream_pool::hasReserve() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->core.ledger().hasReserve();
}

void upstream_pool::confirmTerminated(const instance_id& instance, incarnation liveIncarnation)
{
    m_state->run([&](monotonic_time now) { m_state->core.confirmTerminated(instance, liveIncarnation, now); });
}

tl::expected<chosen_upstream, refusal> upstream_pool::acquire(const upstream_requirements& requirements)
{
    waiter own;
    std::uint64_t ticket = 0;
    m_state->run([&](monotonic_time now) {
        ticket = ++m_state->lastTicket;
        m_state->waiters.emplace(ticket, &own);
        m_state->core.enqueue(ticket, requirements, now);
    });
    std::unique_lock lock(m_state->mutex);
    own.decided.wait_until(lock, requirements.deadline, [&own] { return own.result.has_value(); });
    m_state->waiters.erase(ticket);
    if (!own.result) {
        m_state->core.cancel(ticket);
        return tl::unexpected(queueTimeout());
    }
    return *own.result;
}

void upstream_pool::release(const chosen_upstream& chosen, const attempt_result& result)
{
    m_state->run([&](monotonic_time now) { m_state->core.release(chosen, result, now); });
}

void upstream_pool::receive(const envelope& message)
{
    m_state->run([&](monotonic_time now) { m_state->core.receive(message.from, message.kind, message.body, now); });
}

void upstream_pool::recordProbe(const upstream_id& target, const probe_answer& answer)
{
    m_state->run([&](monotonic_time now) { m_state->core.recordProbe(target, answer, now); });
}

std::vector<upstream> upstream_pool::upstreamsToProbe() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->core.upstreamsToProbe();
}

void upstream_pool::tick()
{
    m_state->run([&](monotonic_time now) { m_state->core.tick(now); });
}

} // namespace flamingoroute
