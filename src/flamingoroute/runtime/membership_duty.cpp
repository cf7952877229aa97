#include "flamingoroute/runtime/membership_duty.hpp"

#include "flamingoroute/peers/message_body.hpp"

#include <algorithm>
#include <random>

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr milliseconds tick { 100 };

membership::random_pick makePick()
{
    return [engine = std::mt19937(std::random_device {}())](std::size_t bound) mutable { return engine() % bound; };
}

} // namespace

membership_duty::membership_duty(member self, process_role role, incarnation localIncarnation,
    const std::vector<member>& seeds, membership_duty_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_membership(std::move(self), role, localIncarnation, {}, makePick())
    , m_thread(
          ringCapacity, tick, [this](const membership_event& event) { run(event); },
          [this] {
              run([](membership& group, monotonic_time now) { return group.onTick(now); });
              publish(monotonicNow());
          })
{
    m_membership.addSeeds(seeds);
}

membership_duty::~membership_duty() { stop(); }

void membership_duty::registerWith(message_router& router)
{
    router.on(message_kind::heartbeat, [this](const envelope& message) {
        m_thread.post([message](membership& group, monotonic_time now) {
            const auto body = unpackMessage<heartbeat>(message.body);
            return body ? group.onHeartbeat(message.from, message.role, message.fromIncarnation, *body, now)
                        : std::vector<heartbeat_message> {};
        });
    });
}

void membership_duty::start() { m_thread.start(); }

void membership_duty::stop() { m_thread.stop(); }

void membership_duty::onPlatformList(std::vector<platform_instance> listed)
{
    m_thread.post([listed = std::move(listed)](membership& group, monotonic_time now) {
        group.onPlatformList(listed, now);
        return std::vector<heartbeat_message> {};
    });
}

std::vector<member_status> membership_duty::members() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_published;
}

std::optional<monotonic_time> membership_duty::lastPlatformAnswerAt() const
{
    const std::lock_guard lock(m_publishedMutex);
    return m_lastPlatformAnswerAt;
}

void membership_duty::run(const membership_event& event)
{
    const auto now = monotonicNow();
    const revision activeRevision = m_hooks.activeRevision();
    auto lastAnswerAt = m_membership.lastPlatformAnswerAt(activeRevision);
    const auto localAnswerAt = m_hooks.lastPlatformAnswerAt ? m_hooks.lastPlatformAnswerAt() : std::nullopt;
    if (localAnswerAt && (!lastAnswerAt || *lastAnswerAt < *localAnswerAt))
        lastAnswerAt = localAnswerAt;
    std::optional<milliseconds> age;
    if (lastAnswerAt)
        age = std::chrono::duration_cast<milliseconds>(now - *lastAnswerAt);
    m_membership.setLocalState(activeRevision, m_hooks.isLeaving(), age);
    for (auto& message : event(m_membership, now))
        m_hooks.send(message.to, message.role, message_kind::heartbeat, packMessage(message.body));
    {
        const std::lock_guard lock(m_publishedMutex);
        m_lastPlatformAnswerAt = lastAnswerAt;
    }
    if (lastAnswerAt && m_hooks.onPlatformAnswer)
        m_hooks.onPlatformAnswer(*lastAnswerAt);
}

void membership_duty::publish(monotonic_time now)
{
    auto members = m_membership.members(now);
    const bool isBridge = m_membership.isBridge(now);
    {
        const std::lock_guard lock(m_publishedMutex);
        if (members == m_published && isBridge == m_isBridge)
            return;
        m_published = members;
        m_isBridge = isBridge;
    }
    if (m_hooks.onMembers)
        m_hooks.onMembers(members, isBridge ? m_membership.remoteBridges(now) : std::vector<instance_id> {});
}

} // namespace flamingoroute
