#include "flamingoroute/moves/version_gate.hpp"

#include "flamingoroute/moves/version_comparison.hpp"
#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <bit>

namespace flamingoroute {

namespace {

/// Fraction of the exposure that is used before the trial under full load.
constexpr double canaryFraction = 0.7;
/// Bounds of the share of requests before the trial, as multiples of the share that the exposure allows.
constexpr double minCanaryMultiple = 0.5;
constexpr double maxCanaryMultiple = 2.5;
/// Attempts are counted when they end, so those of the last moments are missing.
constexpr microseconds countingDelay { 1'000'000 };
/// Before this time the rate of requests is not known well enough to spend the slack of the exposure.
constexpr milliseconds rateMeasurementTime { 2500 };
/// Fractions of the exposure and of its slack that are used; the rest is a reserve for bursts and late updates.
constexpr double exposureFraction = 0.85;
constexpr double slackFraction = 0.6;
/// Bounds of the trial under full load, as fractions of an order's duration.
constexpr double minTrialFraction = 0.03;
constexpr double maxTrialFraction = 0.2;
/// Old upstreams are stopped once an order is completed, so that state is written as late as the deadline allows; it
/// becomes visible to operators some hundreds of milliseconds later.
constexpr milliseconds completionMargin { 600 };
/// Between the end of the trial and the decision, so that its answers count.
constexpr milliseconds answerTime { 400 };
constexpr milliseconds trialEndMargin = completionMargin + answerTime;
/// Share of requests after the deadline, if there is too little evidence until then.
constexpr double extendedShare = 0.5;
/// An order without enough evidence is rolled back after this multiple of its duration.
constexpr int maxDurations = 2;
/// Between an instance's write of a state and those of the next ones, if it has not become visible by then.
constexpr milliseconds writeStagger { 200 };
/// An order arrives at most this long after its upstreams; a version without an order is used after that.
constexpr microseconds maxOrderWait { 3'000'000 };

constexpr double microsecondsPerSecond = 1e6;
constexpr double hashScale = 1.0 / 9007199254740992.0; // 2^-53

/// @return how long the instance of @p rank waits for a write by an instance of lower rank. Each step doubles the
///         number of instances that may write, so the last one of a large fleet waits for some steps only.
microseconds writeDelay(std::size_t rank) { return writeStagger * static_cast<std::int64_t>(std::bit_width(rank)); }

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

bool version_gate::isForgottenBy(const version_order& stored, const running_order& known)
{
    const bool isDecided = known.order.state != version_order_state::running;
    const bool isOfLaterEra = stored.revision.era > known.order.revision.era;
    return stored.state == version_order_state::running && isDecided && (isOfLaterEra || known.isForgotten);
}

void version_gate::recordOrder(const version_order& order, monotonic_time now)
{
    auto existing = m_orders.find(order.service);
    const bool isSame = existing != m_orders.end() && existing->second.order.target == order.target
        && existing->second.order.duration == order.duration;
    if (!isSame) {
        m_orders[order.service] = running_order { order, now, now, {}, {}, {}, false };
        existing = m_orders.find(order.service);
        if (order.state != version_order_state::rolled_back)
            m_rolledBack[order.service].erase(order.target);
    }
    auto& known = existing->second;
    if (isForgottenBy(order, known)) {
        const auto decided = known.order.state;
        known.readAt = known.isForgotten ? known.readAt : now;
        known.isForgotten = true;
        known.order = order;
        known.order.state = decided;
        return;
    }
    known.isForgotten = false;
    known.order = order;
    if (order.state == version_order_state::rolled_back)
        m_rolledBack[order.service].insert(order.target);
}

void version_gate::removeOrder(const service_id& service) { m_orders.erase(service); }

/// @return attempts per second at all versions of the service, rather too many than too few; 0 if unknown
double version_gate::rateOf(const running_order& running, monotonic_time now)
{
    const auto counted = now - running.startedAt - countingDelay;
    const double requests = running.fleet.attempts + running.fleet.otherAttempts;
    return counted > microseconds(0) ? requests / std::chrono::duration<double>(counted).count() : 0;
}

double version_gate::allowedAttempts(const running_order& running, double perSecond) const
{
    const double duration = std::chrono::duration<double>(running.order.duration).count();
    return exposureFraction * m_exposureShare * perSecond * duration + slackFraction * m_exposureSlack;
}

double version_gate::canaryShare(const running_order& running, monotonic_time now) const
{
    const double minShare = minCanaryMultiple * m_exposureShare;
    const double perSecond = rateOf(running, now);
    if (now - running.startedAt < rateMeasurementTime || perSecond <= 0)
        return minShare;
    const double duration = std::chrono::duration<double>(running.order.duration).count();
    const double share = canaryFraction * allowedAttempts(running, perSecond) / (perSecond * duration);
    return std::clamp(share, minShare, maxCanaryMultiple * m_exposureShare);
}

microseconds version_gate::trialTime(const running_order& running, monotonic_time now) const
{
    const double duration = std::chrono::duration<double>(running.order.duration).count();
    const double perSecond = rateOf(running, now);
    double trial = minTrialFraction * duration;
    if (perSecond > 0)
        trial = (1 - canaryFraction) * allowedAttempts(running, perSecond) / perSecond;
    const double bounded = std::clamp(trial, minTrialFraction * duration, maxTrialFraction * duration);
    return microseconds(static_cast<std::int64_t>(bounded * microsecondsPerSecond));
}

bool version_gate::isTrialActive(const running_order& running, monotonic_time now) const
{
    const auto left = running.startedAt + microseconds(running.order.duration) - trialEndMargin - now;
    const auto duration = static_cast<double>(microseconds(running.order.duration).count());
    if (left <= microseconds(0) || left > microseconds(static_cast<std::int64_t>(maxTrialFraction * duration)))
        return false;
    return left <= trialTime(running, now);
}

double version_gate::shareOf(const running_order& running, monotonic_time now) const
{
    if (running.order.state == version_order_state::completed || isTrialActive(running, now))
        return 1;
    const bool isOverdue = now - running.startedAt > running.order.duration;
    return isOverdue ? extendedShare : canaryShare(running, now);
}

version_filter version_gate::filterFor(const service_id& service, std::uint64_t requestHash, monotonic_time now) const
{
    version_filter filter;
    const auto rolledBack = m_rolledBack.find(service);
    if (rolledBack != m_rolledBack.end())
        filter.excluded = rolledBack->second;
    const auto existing = m_orders.find(service);
    const bool hasOrder = existing != m_orders.end();
    const auto newVersions = m_newVersions.find(service);
    if (newVersions != m_newVersions.end()) {
        for (const auto& [version, since] : newVersions->second) {
            const bool isOrdered = hasOrder && existing->second.order.target == version;
            if (!isOrdered && now - since < maxOrderWait)
                filter.excluded.insert(version);
        }
    }
    if (!hasOrder)
        return filter;
    const auto& running = existing->second;
    const auto& target = running.order.target;
    if (running.order.state == version_order_state::rolled_back)
        return filter;
    if (running.order.state == version_order_state::running && running.badSince) {
        filter.excluded.insert(target);
        return filter;
    }
    if (uniformOf(requestHash) < shareOf(running, now))
        filter.preferred = target;
    else
        filter.avoided = target;
    return filter;
}

bool version_gate::recordAttempt(
    const service_id& service, const version_id& version, version_sample sample, std::uint64_t upstreamHash)
{
    const auto existing = m_orders.find(service);
    if (existing == m_orders.end() || existing->second.order.state != version_order_state::running)
        return false;
    auto& local = existing->second.local;
    const bool isUntimed = sample == version_sample::untimed;
    if (existing->second.order.target != version) {
        ++local.otherAttempts;
        local.otherUntimed += isUntimed ? 1 : 0;
        local.otherFailures += sample == version_sample::failed ? 1 : 0;
        local.otherSlow += sample == version_sample::slow ? 1 : 0;
        local.otherBroken += sample == version_sample::broken ? 1 : 0;
        return false;
    }
    ++local.attempts;
    local.untimed += isUntimed ? 1 : 0;
    if (sample == version_sample::good || sample == version_sample::slow)
        local.addTimed(upstreamHash, sample == version_sample::slow);
    local.failures += sample == version_sample::failed ? 1 : 0;
    local.slow += sample == version_sample::slow ? 1 : 0;
    local.broken += sample == version_sample::broken ? 1 : 0;
    return sample != version_sample::good && !isUntimed;
}

std::vector<version_tally> version_gate::tallies(monotonic_time now) const
{
    std::vector<version_tally> result;
    for (const auto& [service, running] : m_orders) {
        if (running.order.state != version_order_state::running)
            continue;
        result.push_back(running.local);
        result.back().service = service.value();
        result.back().version = running.order.target.value();
        result.back().ageMs = ageOf(running, now);
    }
    return result;
}

std::uint64_t version_gate::ageOf(const running_order& running, monotonic_time now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - running.startedAt);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
}

void version_gate::judge(const std::vector<version_tally>& others, monotonic_time now)
{
    for (auto& [service, running] : m_orders) {
        running.fleet = running.local;
        for (const auto& other : others) {
            if (other.service != service.value() || other.version != running.order.target.value())
                continue;
            running.startedAt = std::min<monotonic_time>(running.startedAt, now - milliseconds(other.ageMs));
            running.fleet.add(other);
        }
        if (!running.badSince && isVersionBad(running.fleet))
            running.badSince = now;
    }
}

version_tally version_gate::evidenceOf(const service_id& service) const
{
    const auto existing = m_orders.find(service);
    return existing == m_orders.end() ? version_tally {} : existing->second.fleet;
}

std::vector<version_order> version_gate::dueStates(std::size_t rank, monotonic_time now) const
{
    std::vector<version_order> due;
    for (const auto& [service, running] : m_orders) {
        const auto delay = writeDelay(rank);
        if (running.isForgotten && now - running.readAt >= delay)
            due.push_back(running.order);
        if (running.order.state != version_order_state::running)
            continue;
        version_order next = running.order;
        const bool isDurationOver = now - running.startedAt >= running.order.duration - completionMargin + delay;
        const bool isTimeOver = now - running.startedAt >= maxDurations * running.order.duration + delay;
        const bool isRollbackDue = running.badSince && now - *running.badSince >= delay;
        const bool isFirstWriteDue = !running.order.isStateWritten && now - running.readAt >= delay;
        if (isRollbackDue || (isDurationOver && isVersionDoubtful(running.fleet)))
            next.state = version_order_state::rolled_back;
        else if (isDurationOver && !running.badSince && isVersionProven(running.fleet))
            next.state = version_order_state::completed;
        else if (isTimeOver)
            next.state = isVersionUnsuspicious(running.fleet) ? version_order_state::completed
                                                              : version_order_state::rolled_back;
        if (next.state != running.order.state || isFirstWriteDue)
            due.push_back(next);
    }
    return due;
}

} // namespace flamingoroute
