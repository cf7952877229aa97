#include "flamingoroute/moves/version_gate.hpp"

#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Part of the exposure that is spent before the switch; the rest is for the time between switch and deadline.
constexpr double canaryPart = 0.25;
/// Parts of the exposure and of its slack that are used; the rest is for bursts and for late news.
constexpr double usedExposure = 0.85;
constexpr double usedSlack = 0.5;
/// The time between switch and deadline, as parts of an order's time.
constexpr double leastTrial = 0.03;
constexpr double mostTrial = 0.2;
/// Old upstreams stop at the completed state, so it is written as late as the deadline allows: operators see it some
/// hundreds of milliseconds later.
constexpr milliseconds completionMargin { 600 };
constexpr milliseconds completionStep { 200 };
/// An order is known this long after its upstreams at the latest; a version without one is then in use.
constexpr microseconds orderPatience { 3'000'000 };

constexpr std::uint32_t failuresToJudge = 3;
/// A bad version fails this much more often than the others of its service.
constexpr double failureFactor = 3.0;
constexpr double failureMargin = 0.04;
constexpr std::uint32_t slowToJudge = 4;
constexpr double worstSlowShare = 0.2;
constexpr std::uint32_t attemptsToComplete = 10;

constexpr double microsecondsPerSecond = 1e6;
constexpr double hashScale = 1.0 / 9007199254740992.0; // 2^-53

double uniformOf(std::uint64_t hash) { return static_cast<double>(mix64(hash) >> 11U) * hashScale; }

} // namespace

version_gate::version_gate(double exposureShare, double exposureSlack)
    : m_exposureShare(exposureShare)
    , m_exposureSlack(exposureSlack)
{
}

void version_gate::recordVersion(
    const service_id& service, const version_id& version, bool isFirstList, monotonic_time now)
{
    const bool isNew = m_knownVersions[service].insert(version).second;
    if (isNew && !isFirstList)
        m_newVersions[service].emplace(version, now);
}

void version_gate::recordOrder(const version_order& order, monotonic_time now)
{
    auto known = m_orders.find(order.service);
    const bool isSame = known != m_orders.end() && known->second.order.target == order.target
        && known->second.order.duration == order.duration;
    if (!isSame) {
        m_orders[order.service] = running_order { order, now, {}, {} };
        known = m_orders.find(order.service);
        if (order.state != version_order_state::rolled_back)
            m_rolledBack[order.service].erase(order.target);
    }
    known->second.order = order;
    if (order.state == version_order_state::rolled_back)
        m_rolledBack[order.service].insert(order.target);
}

void version_gate::removeOrder(const service_id& service) { m_orders.erase(service); }

microseconds version_gate::trialTime(const running_order& running, monotonic_time now) const
{
    const double age = std::chrono::duration<double>(now - running.since).count();
    const double duration = std::chrono::duration<double>(running.order.duration).count();
    const double requests = running.fleet.attempts + running.fleet.otherAttempts;
    const double perSecond = age > 0 ? requests / age : 0;
    double trial = leastTrial * duration;
    if (perSecond > 0) {
        const double allowed = usedExposure * m_exposureShare * perSecond * duration + usedSlack * m_exposureSlack;
        trial = (allowed - canaryPart * m_exposureShare * perSecond * duration) / perSecond;
    }
    const double bounded = std::clamp(trial, leastTrial * duration, mostTrial * duration);
    return microseconds(static_cast<std::int64_t>(bounded * microsecondsPerSecond));
}

bool version_gate::isSwitchDue(const running_order& running, monotonic_time now) const
{
    const auto left = running.since + microseconds(running.order.duration) - now;
    const auto duration = static_cast<double>(microseconds(running.order.duration).count());
    if (left > microseconds(static_cast<std::int64_t>(mostTrial * duration)))
        return false;
    return left <= trialTime(running, now);
}

version_filter version_gate::filterFor(const service_id& service, std::uint64_t requestHash, monotonic_time now) const
{
    version_filter filter;
    const auto rolledBack = m_rolledBack.find(service);
    if (rolledBack != m_rolledBack.end())
        filter.excluded = rolledBack->second;
    const auto known = m_orders.find(service);
    const bool hasOrder = known != m_orders.end();
    const auto fresh = m_newVersions.find(service);
    if (fresh != m_newVersions.end()) {
        for (const auto& [version, since] : fresh->second) {
            const bool isOrdered = hasOrder && known->second.order.target == version;
            if (!isOrdered && now - since < orderPatience)
                filter.excluded.insert(version);
        }
    }
    if (!hasOrder)
        return filter;
    const auto& running = known->second;
    const auto& target = running.order.target;
    if (running.order.state == version_order_state::rolled_back)
        return filter;
    if (running.order.state == version_order_state::running && running.isBad) {
        filter.excluded.insert(target);
        return filter;
    }
    const bool isTargets = running.order.state == version_order_state::completed || isSwitchDue(running, now)
        || uniformOf(requestHash) < canaryPart * m_exposureShare;
    if (isTargets)
        filter.preferred = target;
    else
        filter.avoided = target;
    return filter;
}

bool version_gate::recordAttempt(const service_id& service, const version_id& version, version_sample sample)
{
    const auto known = m_orders.find(service);
    if (known == m_orders.end() || known->second.order.state != version_order_state::running)
        return false;
    auto& own = known->second.own;
    if (known->second.order.target != version) {
        ++own.otherAttempts;
        own.otherFailures += sample == version_sample::failed ? 1 : 0;
        return false;
    }
    ++own.attempts;
    own.failures += sample == version_sample::failed ? 1 : 0;
    own.slow += sample == version_sample::slow ? 1 : 0;
    return sample != version_sample::good;
}

std::vector<version_tally> version_gate::tallies(monotonic_time now) const
{
    std::vector<version_tally> result;
    for (const auto& [service, running] : m_orders) {
        if (running.order.state != version_order_state::running)
            continue;
        result.push_back(running.own);
        result.back().service = service.value();
        result.back().version = running.order.target.value();
        result.back().ageMs = ageOf(running, now);
    }
    return result;
}

bool version_gate::isBad(const version_tally& counts)
{
    const double attempts = std::max(1U, counts.attempts);
    const double usual = counts.otherFailures / std::max(1.0, static_cast<double>(counts.otherAttempts));
    const double worst = failureFactor * usual + failureMargin;
    const bool fails = counts.failures >= failuresToJudge && counts.failures / attempts >= worst;
    const bool isSlow = counts.slow >= slowToJudge && counts.slow / attempts >= worstSlowShare;
    return fails || isSlow;
}

std::uint64_t version_gate::ageOf(const running_order& running, monotonic_time now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - running.since);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
}

void version_gate::judge(const std::vector<version_tally>& others, monotonic_time now)
{
    for (auto& [service, running] : m_orders) {
        running.fleet = running.own;
        for (const auto& other : others) {
            if (other.service != service.value() || other.version != running.order.target.value())
                continue;
            running.since = std::min<monotonic_time>(running.since, now - milliseconds(other.ageMs));
            running.fleet.attempts += other.attempts;
            running.fleet.failures += other.failures;
            running.fleet.slow += other.slow;
            running.fleet.otherAttempts += other.otherAttempts;
            running.fleet.otherFailures += other.otherFailures;
        }
        running.isBad = running.isBad || isBad(running.fleet);
    }
}

std::vector<version_order> version_gate::dueStates(std::size_t rank, monotonic_time now) const
{
    std::vector<version_order> due;
    for (const auto& [service, running] : m_orders) {
        if (running.order.state != version_order_state::running)
            continue;
        version_order wanted = running.order;
        const auto turn = completionStep * static_cast<std::int64_t>(rank);
        const bool isOver = now - running.since >= running.order.duration - completionMargin + turn;
        if (running.isBad || (isOver && running.fleet.attempts < attemptsToComplete))
            wanted.state = version_order_state::rolled_back;
        else if (isOver)
            wanted.state = version_order_state::completed;
        if (wanted.state != running.order.state || !running.order.isStateWritten)
            due.push_back(wanted);
    }
    return due;
}

} // namespace flamingoroute
