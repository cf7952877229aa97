#include "flamingoroute/moves/move_leader.hpp"

#include "flamingoroute/moves/move_machine.hpp"

namespace flamingoroute {

namespace {

constexpr seconds minRateWindow { 2 };

bool isSameMove(const version_move& left, const version_move& right)
{
    return left.service == right.service && left.from == right.from && left.to == right.to
        && left.startAtUnixMs == right.startAtUnixMs;
}

move_observation noticeOf(const version_move& move, const version_verdict& verdict)
{
    move_observation notice;
    notice.move = move.name.value();
    notice.startAtUnixMs = move.startAtUnixMs;
    notice.steppedAtUnixMs = move.steppedAtUnixMs;
    notice.isStopped = verdict.state == verdict_state::bad;
    if (notice.isStopped)
        notice.reason = verdict.reason;
    return notice;
}

} // namespace

move_leader::led_move::led_move(const version_move& published, const move_settings& settings, monotonic_time now)
    : move(published)
    , judge(settings)
    , confirmations(settings, now)
    , stepBeganAt(now)
{
    judge.beginStep(published.sharePercent, now);
}

void move_leader::adopt(const configuration& current, monotonic_time now)
{
    std::map<move_id, led_move> moves;
    for (const auto& move : current.moves) {
        if (move.phase == move_phase::undone)
            continue;
        const auto existing = m_moves.find(move.name);
        if (existing == m_moves.end() || !isSameMove(existing->second.move, move)) {
            moves.emplace(move.name, led_move(move, m_settings, now));
            continue;
        }
        auto& each = existing->second;
        if (each.move.steppedAtUnixMs != move.steppedAtUnixMs) {
            each.judge.beginStep(move.sharePercent, now);
            each.sources.clear();
            each.stepBeganAt = now;
        }
        each.move = move;
        moves.emplace(move.name, std::move(each));
    }
    m_moves = std::move(moves);
}

void move_leader::recordReport(
    const instance_id& from, incarnation fromIncarnation, const move_observation& report, monotonic_time now)
{
    const auto found = m_moves.find(move_id(report.move));
    if (found == m_moves.end() || found->second.move.startAtUnixMs != report.startAtUnixMs)
        return;
    auto& each = found->second;
    if (report.isStopped && each.stopReason.empty())
        each.stopReason = "at " + from.value() + ": " + report.reason;
    auto& sender = each.sources[from];
    if (fromIncarnation < sender.number)
        return;
    if (fromIncarnation > sender.number)
        sender = source { fromIncarnation, {} };
    each.confirmations.record(from, report.steppedAtUnixMs, now);
    if (report.steppedAtUnixMs != each.move.steppedAtUnixMs)
        return;
    for (const auto& observed : report.routes)
        addCounts(each, sender, observed, now);
}

move_leader::actions move_leader::tick(const view& at)
{
    actions result;
    for (auto& [name, each] : m_moves) {
        measureRate(each, at.now);
        const auto verdict = verdictOf(each);
        const bool isBad = verdict.state == verdict_state::bad;
        const bool isLed = at.holdsLease(name);
        if (isBad || isLed)
            result.notices.push_back(noticeOf(each.move, verdict));
        if (!isLed)
            continue;
        move_event event;
        event.nowUnixMs = at.nowUnixMs;
        event.verdict = verdict;
        event.isStepConfirmed = at.now - each.stepBeganAt >= minRateWindow
            && each.confirmations.isConfirmed(at.members, each.move.steppedAtUnixMs, at.now);
        event.requestsPerSecond = each.requestsPerSecond;
        auto next = advanceMove(each.move, event, m_settings);
        if (next != each.move)
            result.publish.push_back(std::move(next));
    }
    return result;
}

void move_leader::addCounts(led_move& each, source& from, const route_observation& observed, monotonic_time now)
{
    auto& previous = from.routes[observed.route];
    if (!hasNotDecreased(observed.counts, previous))
        return;
    each.judge.add(observed.route, observed.counts - previous, now);
    previous = observed.counts;
}

version_verdict move_leader::verdictOf(const led_move& each)
{
    if (!each.stopReason.empty())
        return { verdict_state::bad, each.stopReason };
    return each.judge.verdict();
}

void move_leader::measureRate(led_move& each, monotonic_time now)
{
    const auto span = now - each.stepBeganAt;
    if (span < minRateWindow)
        return;
    const auto& counts = each.judge.counts();
    const auto attempts = static_cast<double>(counts.oldAttempts + counts.newAttempts);
    each.requestsPerSecond = attempts / std::chrono::duration<double>(span).count();
}

} // namespace flamingoroute
