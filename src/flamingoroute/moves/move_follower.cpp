#include "flamingoroute/moves/move_follower.hpp"

#include "flamingoroute/moves/effective_share.hpp"

namespace flamingoroute {

namespace {

constexpr milliseconds reportInterval { 1000 };
constexpr milliseconds reportIntervalWhileSuspicious { 200 };

bool isSameMove(const version_move& left, const version_move& right)
{
    return left.service == right.service && left.from == right.from && left.to == right.to
        && left.startAtUnixMs == right.startAtUnixMs;
}

} // namespace

void move_follower::adopt(const configuration& current, const clock_reading& at)
{
    std::map<move_id, followed_move> moves;
    for (const auto& move : current.moves) {
        if (!isFollowed(move, at.nowUnixMs))
            continue;
        const auto existing = m_moves.find(move.name);
        if (existing == m_moves.end() || !isSameMove(existing->second.observer.move(), move)) {
            moves.emplace(move.name, followed_move { move_observer(move, m_settings, at.now), at.now });
            continue;
        }
        if (existing->second.observer.move().steppedAtUnixMs != move.steppedAtUnixMs)
            existing->second.confirmedAt = at.now;
        existing->second.observer.adopt(move, at.now);
        moves.emplace(move.name, std::move(existing->second));
    }
    m_moves = std::move(moves);
}

bool move_follower::recordAttempt(const observed_attempt& attempt, monotonic_time now)
{
    bool isStopped = false;
    for (auto& [name, followed] : m_moves) {
        const auto& move = followed.observer.move();
        const bool isRelevant
            = move.service == attempt.service && (move.from == attempt.version || move.to == attempt.version);
        if (!isRelevant || followed.observer.isStopped())
            continue;
        followed.observer.recordAttempt(attempt, now);
        isStopped = isStopped || followed.observer.isStopped();
    }
    return isStopped;
}

bool move_follower::applyNotice(const move_observation& notice, monotonic_time now)
{
    const auto found = m_moves.find(move_id(notice.move));
    if (found == m_moves.end())
        return false;
    auto& observer = found->second.observer;
    if (observer.move().startAtUnixMs != notice.startAtUnixMs)
        return false;
    if (!notice.isStopped) {
        if (observer.move().steppedAtUnixMs == notice.steppedAtUnixMs)
            found->second.confirmedAt = now;
        return false;
    }
    if (observer.isStopped())
        return false;
    observer.stop(notice.reason);
    return true;
}

std::vector<version_split> move_follower::splits(const clock_reading& at) const
{
    std::vector<version_split> result;
    for (const auto& [name, followed] : m_moves) {
        const auto& move = followed.observer.move();
        const bool isFresh = at.now - followed.confirmedAt < m_settings.staleAfter;
        const int percent
            = effectiveShare(move, local_move_view { isFresh, followed.observer.isStopped(), at.nowUnixMs });
        if (isSwitchedOver(move) && percent == 100)
            continue;
        if (move.phase != move_phase::waiting)
            result.push_back({ move.service, move.from, move.to, percent });
    }
    return result;
}

std::vector<move_observation> move_follower::collectDueReports(monotonic_time now)
{
    std::vector<move_observation> reports;
    for (auto& [name, followed] : m_moves) {
        if (!isReportDue(followed, now))
            continue;
        reports.push_back(followed.observer.collectObservation());
        followed.reportedAt = now;
        followed.hasReportedStop = followed.observer.isStopped();
    }
    return reports;
}

/// An undone move is not followed; one that has switched over is followed until its rollback window ends. Any other
/// one is followed without limit, also one that is done below 100%.
bool move_follower::isFollowed(const version_move& move, std::int64_t nowUnixMs) const
{
    if (move.phase == move_phase::undone)
        return false;
    return !isSwitchedOver(move) || nowUnixMs < move.steppedAtUnixMs + m_settings.rollbackWindow.count();
}

bool move_follower::isReportDue(const followed_move& followed, monotonic_time now) const
{
    if (followed.observer.isStopped() && !followed.hasReportedStop)
        return true;
    const auto interval = followed.observer.isSuspicious() ? reportIntervalWhileSuspicious : reportInterval;
    return now - followed.reportedAt >= interval;
}

} // namespace flamingoroute
