#include "flamingoroute/runtime/version_duty.hpp"

#include "flamingoroute/peers/message_body.hpp"
#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/move_candidates.hpp"
#include "flamingoroute/runtime/unix_time.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr milliseconds tickInterval { 50 };
constexpr int firstErrorStatus = 500;

move_follower::clock_reading viewNow() { return { monotonicNow(), unixNowMs() }; }

bool isError(const attempt_result& result)
{
    return result.outcome != attempt_outcome::answered || result.answer.status >= firstErrorStatus;
}

} // namespace

version_duty::version_duty(const move_settings& settings, version_duty_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_follower(settings)
    , m_thread(
          ringCapacity, tickInterval, [this](const follower_event& event) { event(m_follower); }, [this] { onTick(); })
{
}

version_duty::~version_duty() { stop(); }

void version_duty::registerWith(message_router& router)
{
    router.on(message_kind::move_observation, [this](const envelope& message) { onMessage(message); });
}

void version_duty::start() { m_thread.start(); }

void version_duty::stop() { m_thread.stop(); }

void version_duty::observe(
    const service& requestedService, const route& matchedRoute, const version_id& version, const attempt_result& result)
{
    if (!m_isFollowing || result.isUpstreamLeaving)
        return;
    observed_attempt observed { requestedService.name, matchedRoute.name, version, isError(result), result.duration };
    m_thread.post([this, observed = std::move(observed)](move_follower& follower) {
        if (follower.recordAttempt(observed, monotonicNow())) {
            event_line(log_level::warn, "move.stopped_here").with("service", observed.service.value());
            updateSplits();
        }
    });
}

void version_duty::onMessage(const envelope& message)
{
    if (message.role != process_role::control)
        return;
    auto notice = unpackMessage<move_observation>(message.body);
    if (!notice)
        return;
    m_thread.post([this, notice = std::move(*notice)](move_follower& follower) {
        if (follower.applyNotice(notice, monotonicNow())) {
            event_line(log_level::warn, "move.stopped_by_leader").with("move", notice.move);
            updateSplits();
        }
    });
}

void version_duty::onTick()
{
    const auto at = viewNow();
    const auto current = m_hooks.currentConfiguration();
    if (current && current != m_adopted) {
        m_adopted = current;
        m_follower.adopt(*current, at);
        m_isFollowing = m_follower.isFollowing();
    }
    updateSplits();
    if (!m_isFollowing)
        return;
    const auto members = m_hooks.members();
    for (const auto& report : m_follower.collectDueReports(at.now)) {
        const auto body = packMessage(report);
        for (const auto& leader : moveCandidates(move_id(report.move), members, moveLeaderCount))
            m_hooks.send(leader, process_role::control, message_kind::move_observation, body);
    }
}

void version_duty::updateSplits() { m_cap.update(m_follower.splits(viewNow())); }

} // namespace flamingoroute
