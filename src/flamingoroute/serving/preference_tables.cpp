#include "flamingoroute/serving/preference_tables.hpp"

#include "flamingoroute/placement/upstream_directory.hpp"
#include "flamingoroute/settings/node_settings.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Share of all slots that a well utilised service occupies while its objects are cached.
constexpr double expectedLoad = 0.6;
/// Services, times the home regions and version filters that requests have at one time.
constexpr std::size_t maxTables = 64;
constexpr microseconds measureInterval { 100'000 };

bool passes(const upstream_state& upstream, const upstream_filter& filter)
{
    const auto& version = upstream.registration.version;
    const auto& versions = filter.versions;
    return (!filter.homeRegions || filter.homeRegions->contains(upstream.region))
        && !versions.excluded.contains(version) && (!versions.preferred || version == *versions.preferred)
        && (!versions.avoided || version != *versions.avoided);
}

std::vector<const upstream_state*> listFor(const upstream_filter& filter, const upstream_directory& upstreams)
{
    std::vector<const upstream_state*> list;
    for (const auto* upstream : upstreams.ofService(filter.service)) {
        if (upstreams.isEligible(*upstream) && passes(*upstream, filter))
            list.push_back(upstream);
    }
    return list;
}

} // namespace

std::map<region_id, region_capacity> regionDemand(const node_settings& settings)
{
    std::map<region_id, region_capacity> demand;
    for (const auto& [domain, region] : settings.regions)
        demand[region].demand += 1.0 / static_cast<double>(settings.regions.size());
    return demand;
}

share_plan sharePlan(const node_settings& settings)
{
    return [region = settings.region](const std::map<region_id, region_capacity>& capacities) {
        return regionShares(capacities, region, expectedLoad);
    };
}

preference_tables::shared_table& preference_tables::find(const upstream_filter& filter, const node_settings& settings)
{
    const auto known
        = std::find_if(m_tables.begin(), m_tables.end(), [&](const auto& one) { return one.filter == filter; });
    if (known != m_tables.end()) {
        m_tables.splice(m_tables.begin(), m_tables, known);
        return m_tables.front();
    }
    if (m_tables.size() >= maxTables)
        m_tables.pop_back();
    m_tables.push_front(
        { filter, preference_table(settings.region, regionDemand(settings), sharePlan(settings)), 0, {}, {}, 0 });
    return m_tables.front();
}

const preference_tables::shared_table& preference_tables::of(const upstream_filter& filter,
    const upstream_directory& upstreams, const node_settings& settings, monotonic_time now)
{
    auto& shared = find(filter, settings);
    const bool isChanged = shared.revision != upstreams.revision() || now >= shared.rebuildAt;
    if (isChanged) {
        shared.table.assign(listFor(filter, upstreams), now);
        shared.revision = upstreams.revision();
        shared.rebuildAt = shared.table.nextChangeAt();
    }
    if (isChanged || now - shared.measuredAt >= measureInterval) {
        shared.usableRemoteShare = shared.table.remoteShareOf([&](const weighted_upstream& one) {
            return one.upstream->backOffUntil <= now && one.upstream->coldUntil <= now;
        });
        shared.measuredAt = now;
    }
    return shared;
}

} // namespace flamingoroute
