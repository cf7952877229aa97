#include "flamingoroute/placement/preference_table.hpp"

#include "flamingoroute/placement/rendezvous_score.hpp"
#include "flamingoroute/placement/upstream_state.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace flamingoroute {

namespace {

/// Longer than a missed heartbeat or a short loss of the store removes an entry.
constexpr microseconds keepVanishedFor { 10'000'000 };
/// Weight of a slot in a region that the plan leaves empty: its upstreams come last, in proportion to their slots.
constexpr double minWeightPerSlot = 1e-9;

/// A candidate during one pass over the table.
struct scored_upstream {
    const weighted_upstream* entry = nullptr;
    double score = 0;
};

} // namespace

preference_table::preference_table(region_id localRegion, std::map<region_id, region_capacity> regions, share_plan plan)
    : m_localRegion(std::move(localRegion))
    , m_regions(std::move(regions))
    , m_plan(std::move(plan))
{
}

void preference_table::recordVanished(const std::map<upstream_id, vanished_upstream>& before, monotonic_time now)
{
    for (const auto& [name, upstream] : before)
        m_vanished[name] = { upstream.region, upstream.slots, now + keepVanishedFor };
    for (const auto& [name, upstream] : m_listed)
        m_vanished.erase(name);
    std::erase_if(m_vanished, [&](const auto& entry) { return entry.second.forgottenAt <= now; });
}

void preference_table::assign(const std::vector<const upstream_state*>& upstreams, monotonic_time now)
{
    const auto before = std::exchange(m_listed, {});
    for (const auto* upstream : upstreams)
        m_listed[upstream->registration.name] = { upstream->region, upstream->registration.slots, {} };
    recordVanished(before, now);
    auto capacities = m_regions;
    for (const auto* known : { &m_listed, &m_vanished }) {
        for (const auto& [name, upstream] : *known)
            capacities[upstream.region].slots += upstream.slots;
    }
    const auto shares = m_plan(capacities);
    m_remoteShare = remoteShareIn(shares);
    m_entries.clear();
    m_entries.reserve(upstreams.size());
    for (const auto* upstream : upstreams) {
        const double slots = upstream->registration.slots;
        const auto share = shares.find(upstream->region);
        const double planned = share == shares.end() ? 0 : share->second * slots / capacities[upstream->region].slots;
        const double weight = std::max(planned, minWeightPerSlot * slots);
        m_entries.push_back({ upstream, upstream->nameHash, weight, upstream->region == m_localRegion });
    }
}

monotonic_time preference_table::nextChangeAt() const
{
    auto next = monotonic_time::max();
    for (const auto& [name, upstream] : m_vanished)
        next = std::min(next, upstream.forgottenAt);
    return next;
}

double preference_table::remoteShareIn(const std::map<region_id, double>& shares) const
{
    const auto kept = shares.find(m_localRegion);
    return kept == shares.end() ? 1 : 1 - kept->second;
}

double preference_table::remoteShareOf(const usable_test& isUsable) const
{
    auto capacities = m_regions;
    bool hasUsable = false;
    for (const auto& entry : m_entries) {
        if (!isUsable(entry))
            continue;
        capacities[entry.upstream->region].slots += entry.upstream->registration.slots;
        hasUsable = true;
    }
    return hasUsable ? remoteShareIn(m_plan(capacities)) : m_remoteShare;
}

std::vector<weighted_upstream> preference_table::firstOf(
    std::uint64_t objectHash, std::size_t count, const usable_test& isUsable) const
{
    std::vector<scored_upstream> first;
    first.reserve(count + 1);
    const auto isBefore
        = [](const scored_upstream& left, const scored_upstream& right) { return left.score < right.score; };
    for (const auto& entry : m_entries) {
        const double limit = first.size() < count ? std::numeric_limits<double>::infinity() : first.back().score;
        const double score = rendezvousScore(objectHash, entry.nameHash, entry.weight, limit);
        if (score >= limit || !isUsable(entry))
            continue;
        const scored_upstream candidate { &entry, score };
        first.insert(std::upper_bound(first.begin(), first.end(), candidate, isBefore), candidate);
        if (first.size() > count)
            first.pop_back();
    }
    std::vector<weighted_upstream> result;
    result.reserve(first.size());
    for (const auto& candidate : first)
        result.push_back(*candidate.entry);
    return result;
}

} // namespace flamingoroute
