#include "flamingoroute/runtime/moves_duty.hpp"

#include "flamingoroute/config/config_publisher.hpp"
#include "flamingoroute/moves/move_progress.hpp"
#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/move_candidates.hpp"
#include "flamingoroute/runtime/unix_time.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr milliseconds tickInterval { 250 };
constexpr seconds publishRetryInterval { 2 };
constexpr seconds takeoverDelay { 60 }; // without progress; then any instance may acquire the lease of the move

} // namespace

moves_duty::moves_duty(const move_settings& settings, instance_id localInstance, incarnation localIncarnation,
    object_store& store, moves_duty_hooks hooks)
    : m_settings(settings)
    , m_localInstance(std::move(localInstance))
    , m_localIncarnation(localIncarnation)
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_publisher(std::make_unique<config_publisher>(
          store, m_localInstance.value() + "/moves/" + std::to_string(localIncarnation)))
    , m_leader(settings)
    , m_thread(
          ringCapacity, tickInterval, [this](const leader_event& event) { event(m_leader); }, [this] { onTick(); })
{
}

moves_duty::~moves_duty() { stop(); }

void moves_duty::registerWith(message_router& router)
{
    router.on(message_kind::move_observation, [this](const envelope& message) {
        auto report = unpackMessage<move_observation>(message.body);
        if (message.role != process_role::entry || !report)
            return;
        m_thread.post([from = message.from, number = message.fromIncarnation, report = std::move(*report)](
                          move_leader& leader) { leader.recordReport(from, number, report, monotonicNow()); });
    });
}

void moves_duty::start() { m_thread.start(); }

void moves_duty::stop()
{
    m_thread.stop();
    for (auto& [name, each] : m_leases) {
        if (each.client->isHeld())
            each.client->release();
    }
    m_leases.clear();
}

void moves_duty::onTick()
{
    const auto now = monotonicNow();
    const auto current = m_hooks.currentConfiguration();
    if (!current)
        return;
    if (current != m_adopted)
        adopt(current, now);
    if (m_leases.empty())
        return;
    const auto members = m_hooks.members();
    stepLeases(members, now);
    move_leader::view at;
    at.now = monotonicNow();
    at.nowUnixMs = unixNowMs();
    at.members = members;
    at.holdsLease = [this](const move_id& name) {
        const auto found = m_leases.find(name);
        return found != m_leases.end() && found->second.client->isHeld();
    };
    const auto actions = m_leader.tick(at);
    sendNotices(actions.notices, members);
    if (actions.publish.empty() || at.now < m_mayPublishAt)
        return;
    publish(actions.publish.front());
    m_mayPublishAt = monotonicNow() + publishRetryInterval;
}

void moves_duty::adopt(const configuration_ptr& current, monotonic_time now)
{
    m_adopted = current;
    m_mayPublishAt = now;
    m_leader.adopt(*current, now);
    std::map<move_id, move_lease> leases;
    for (const auto& move : current->moves) {
        const bool isInRollbackWindow = unixNowMs() < move.steppedAtUnixMs + m_settings.rollbackWindow.count();
        if (move.phase == move_phase::undone || (move.phase == move_phase::done && !isInRollbackWindow))
            continue;
        auto& lease = leases[move.name];
        const auto known = m_leases.find(move.name);
        if (known != m_leases.end())
            lease = std::move(known->second);
        if (!lease.client)
            lease.client = makeLeaseClient(move.name);
        if (lease.move != move)
            lease.unchangedSince = now;
        lease.move = move;
    }
    m_leases = std::move(leases);
}

void moves_duty::stepLeases(const std::vector<instance_id>& members, monotonic_time now)
{
    for (auto& [name, each] : m_leases) {
        const auto candidates = moveCandidates(name, members, moveLeaderCount);
        const bool isCandidate = std::find(candidates.begin(), candidates.end(), m_localInstance) != candidates.end();
        const bool isStalled = each.move.phase != move_phase::done && now - each.unchangedSince >= takeoverDelay;
        each.client->setWanted(isCandidate || isStalled);
        each.client->step();
    }
}

std::unique_ptr<lease_client> moves_duty::makeLeaseClient(const move_id& move)
{
    lease_settings settings;
    settings.name = "move-" + move.value();
    settings.holder = m_localInstance.value() + "/control";
    settings.holderIncarnation = m_localIncarnation;
    return std::make_unique<lease_client>(m_store, settings, monotonicNow);
}

void moves_duty::sendNotices(const std::vector<move_observation>& notices, const std::vector<instance_id>& members)
{
    for (const auto& notice : notices) {
        const auto body = packMessage(notice);
        for (const auto& member : members)
            m_hooks.send(member, process_role::entry, message_kind::move_observation, body);
    }
}

void moves_duty::publish(const version_move& next)
{
    const auto done = m_publisher->publish(withMove(*m_adopted, next), m_adopted->number);
    event_line line(done ? log_level::info : log_level::warn, "move.step");
    line.with("move", next.name.value()).with("share", next.sharePercent).with("reason", next.reason);
    if (!done)
        line.with(done.error().cause);
}

} // namespace flamingoroute
