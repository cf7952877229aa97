#include "flamingoroute/serving/upstream_selector.hpp"

#include "flamingoroute/placement/placement.hpp"
#include "flamingoroute/serving/near_instances.hpp"
#include "flamingoroute/serving/serving_state.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr double coldSlowness = 2;
constexpr microseconds maxWaitForSend { 1'000'000 };
/// Beyond this difference between the share that must leave the region and the planned one, upstreams of other regions
/// are evaluated before the order of preference reaches them.
constexpr double maxUnplannedShare = 0.05;

template <typename Test>
std::vector<const upstream_state*> keepIf(const std::vector<const upstream_state*>& upstreams, Test test)
{
    std::vector<const upstream_state*> kept;
    kept.reserve(upstreams.size());
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(kept), test);
    return kept;
}

/// @param upstreams not empty; none accepts a request now
/// @return until one does, as far as callers should wait for that: another instance may find one earlier
microseconds timeToNextSend(const std::vector<const upstream_state*>& upstreams, monotonic_time now)
{
    microseconds shortest = maxWaitForSend;
    for (const auto* upstream : upstreams)
        shortest = std::min<microseconds>(shortest, std::max(upstream->nextLimitedSendAt, upstream->pausedUntil) - now);
    return shortest;
}

/// Reduces @p upstreams to those that pass @p test, unless none passes.
template <typename Test> void prefer(std::vector<const upstream_state*>& upstreams, Test test)
{
    auto kept = keepIf(upstreams, test);
    if (!kept.empty())
        upstreams = std::move(kept);
}

} // namespace

upstream_selector::upstream_selector(serving_state& state)
    : m_state(state)
{
}

bool upstream_selector::isAllowed(const upstream_state& upstream, const selection_query& query,
    const version_filter& versions, monotonic_time now) const
{
    return m_state.upstreams.isEligible(upstream) && !query.tried.contains(upstream.registration.name)
        && (!query.homeRegions || query.homeRegions->contains(upstream.region))
        && !versions.excluded.contains(upstream.registration.version) && passesColdGate(upstream, query, now);
}

bool upstream_selector::passesColdGate(
    const upstream_state& upstream, const selection_query& query, monotonic_time now) const
{
    if (now >= upstream.coldUntil)
        return true;
    const auto* policy = m_state.table->findService(query.service);
    if (policy == nullptr)
        return true;
    return m_state.cold.maySend(upstream.registration.name, nearInstances(m_state, upstream), policy->coldRate, now);
}

std::vector<const upstream_state*> upstream_selector::allowedUpstreams(
    const selection_query& query, monotonic_time now) const
{
    const auto versions = m_state.versions.filterFor(query.service, query.requestHash, now);
    auto allowed = keepIf(m_state.upstreams.ofService(query.service),
        [&](const upstream_state* upstream) { return isAllowed(*upstream, query, versions, now); });
    prefer(allowed, [&](const upstream_state* upstream) { return upstream->backOffUntil <= now; });
    if (versions.preferred)
        prefer(allowed,
            [&](const upstream_state* upstream) { return upstream->registration.version == *versions.preferred; });
    if (versions.avoided)
        prefer(allowed,
            [&](const upstream_state* upstream) { return upstream->registration.version != *versions.avoided; });
    return allowed;
}

upstream_selector::shift_bound upstream_selector::shiftBound(double plannedShare, monotonic_time now) const
{
    if (!m_state.shifts.mayLeaveRegion(plannedShare, now))
        return shift_bound::stay;
    return m_state.shifts.shouldLeaveRegion(now) ? shift_bound::leave : shift_bound::none;
}

bool upstream_selector::passesShiftBound(
    const weighted_upstream& candidate, shift_bound bound, const selection_query& query, monotonic_time now) const
{
    if (bound == shift_bound::stay)
        return candidate.isLocal;
    const auto& upstream = *candidate.upstream;
    return bound == shift_bound::none
        || (!candidate.isLocal && m_state.objects.isRecent(candidate.nameHash, query.objectHash, now)
            && estimatedLoad(upstream, now) < upstream.registration.slots);
}

bool upstream_selector::isUsable(const upstream_state& upstream, const selection_query& query, monotonic_time now) const
{
    return m_state.upstreams.isEligible(upstream) && upstream.backOffUntil <= now && acceptsNow(upstream, now)
        && !query.tried.contains(upstream.registration.name) && passesColdGate(upstream, query, now);
}

std::vector<weighted_upstream> upstream_selector::firstWithin(const preference_table& table, shift_bound bound,
    const preference_table::usable_test& isUsable, const selection_query& query, monotonic_time now) const
{
    auto first = table.firstOf(query.objectHash, maxEvaluatedCandidates,
        [&](const weighted_upstream& one) { return passesShiftBound(one, bound, query, now) && isUsable(one); });
    if (first.empty() && bound != shift_bound::none)
        return table.firstOf(query.objectHash, maxEvaluatedCandidates, isUsable);
    return first;
}

std::vector<weighted_upstream> upstream_selector::usableUpstreams(
    const selection_query& query, monotonic_time now) const
{
    const upstream_filter filter { query.service, query.homeRegions,
        m_state.versions.filterFor(query.service, query.requestHash, now) };
    const auto& shared = m_state.preferences.of(filter, m_state.upstreams, m_state.settings, now);
    const auto isUsableNow = [&](const weighted_upstream& one) { return isUsable(*one.upstream, query, now); };
    const double planned = shared.table.remoteShare();
    const auto bound = shiftBound(std::max(planned, shared.usableRemoteShare), now);
    auto first = firstWithin(shared.table, bound, isUsableNow, query, now);
    const bool needsRemote = bound == shift_bound::none && shared.usableRemoteShare > planned + maxUnplannedShare;
    const bool hasRemote = std::any_of(first.begin(), first.end(), [](const auto& one) { return !one.isLocal; });
    if (!needsRemote || hasRemote || first.size() < maxEvaluatedCandidates)
        return first;
    const auto remote = shared.table.firstOf(
        query.objectHash, 1, [&](const weighted_upstream& one) { return !one.isLocal && isUsableNow(one); });
    if (!remote.empty())
        first.back() = remote.front();
    return first;
}

std::vector<weighted_upstream> upstream_selector::lastResorts(
    const std::vector<const upstream_state*>& upstreams, const selection_query& query, monotonic_time now) const
{
    preference_table table(m_state.settings.region, regionDemand(m_state.settings), sharePlan(m_state.settings));
    table.assign(upstreams, now);
    const auto isAny = [](const weighted_upstream&) { return true; };
    return firstWithin(table, shiftBound(table.remoteShare(), now), isAny, query, now);
}

placement_candidate upstream_selector::candidateFor(
    const upstream_state& upstream, double weight, const selection_query& query, monotonic_time now) const
{
    placement_candidate candidate;
    candidate.nameHash = upstream.nameHash;
    candidate.weight = weight;
    candidate.slots = upstream.registration.slots;
    candidate.load = estimatedLoad(upstream, now);
    candidate.slowness = currentSlowness(upstream, now) * (now < upstream.coldUntil ? coldSlowness : 1);
    candidate.failureShare = currentFailureShare(upstream, now);
    candidate.pathDelay = m_state.paths.to(upstream.region);
    candidate.isWarm = m_state.objects.isRecent(upstream.nameHash, query.objectHash, now);
    return candidate;
}

selection upstream_selector::select(const selection_query& query, monotonic_time now) const
{
    selection result;
    auto preferred = usableUpstreams(query, now);
    if (preferred.empty()) {
        const auto allowed = allowedUpstreams(query, now);
        if (allowed.empty())
            return result;
        const auto sendable = keepIf(allowed, [&](const upstream_state* one) { return acceptsNow(*one, now); });
        if (sendable.empty()) {
            result.reason = selection_reason::no_capacity;
            result.wait = timeToNextSend(allowed, now);
            return result;
        }
        preferred = lastResorts(sendable, query, now);
    }
    const auto times = m_state.times.of(*query.rule);
    std::vector<placement_candidate> candidates;
    candidates.reserve(preferred.size());
    for (const auto& one : preferred)
        candidates.push_back(candidateFor(*one.upstream, one.weight, query, now));
    placement_request request;
    request.objectHash = query.objectHash;
    request.isSticky = query.rule->isSticky;
    request.warmTime = times.warm;
    request.coldTime = query.rule->isSticky ? times.cold : times.warm;
    request.objective = query.objective;
    request.timeLeft = query.timeLeft;
    request.maxWaitShare = query.maxWaitShare;
    const auto choice = choosePlacement(request, candidates);
    result.expected = choice.expected;
    result.wait = choice.wait;
    result.baseline = choice.baseline;
    result.reason = choice.index ? selection_reason::chosen : selection_reason::no_capacity;
    if (!choice.index)
        return result;
    const auto& chosen = *preferred[*choice.index].upstream;
    result.upstream = chosen.registration.name;
    result.isKnownWarm = candidates[*choice.index].isWarm;
    result.isCold = now < chosen.coldUntil;
    return result;
}

} // namespace flamingoroute
