#include "flamingoroute/steering/internal/locality_tier.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr milliseconds distanceInRegion { 2 };
constexpr milliseconds unknownDistance { 200 };

} // namespace

region_id regionOfDomain(const configuration& current, const failure_domain_id& domain)
{
    for (const auto& candidate : current.failureDomains) {
        if (candidate.name == domain)
            return candidate.region;
    }
    return {};
}

const region_link* findLink(const configuration& current, const region_id& from, const region_id& to)
{
    const region_link* backward = nullptr;
    for (const auto& regionEntry : current.regions) {
        for (const auto& link : regionEntry.links) {
            if (regionEntry.name == from && link.to == to)
                return &link;
            if (regionEntry.name == to && link.to == from)
                backward = &link;
        }
    }
    return backward;
}

std::vector<locality_tier> localityTiers(const configuration& current, const service_id& service,
    const version_id& version, const failure_domain_id& domain, const region_id& region)
{
    std::vector<locality_tier> tiers(2);
    tiers[0].region = region;
    tiers[1].region = region;
    tiers[1].distance = distanceInRegion;
    for (const auto& target : current.upstreams) {
        if (target.service != service || target.version != version)
            continue;
        const auto targetRegion = regionOfDomain(current, target.failureDomain);
        if (target.failureDomain == domain) {
            tiers[0].upstreams.push_back(&target);
            continue;
        }
        auto tier = std::find_if(tiers.begin() + 1, tiers.end(),
            [&](const locality_tier& candidate) { return candidate.region == targetRegion; });
        if (tier == tiers.end()) {
            const auto* link = findLink(current, region, targetRegion);
            tier = tiers.insert(tier, { link ? link->distance : unknownDistance, targetRegion, true, {} });
        }
        tier->upstreams.push_back(&target);
    }
    std::stable_sort(tiers.begin(), tiers.end(),
        [](const locality_tier& left, const locality_tier& right) { return left.distance < right.distance; });
    std::erase_if(tiers, [](const locality_tier& tier) { return tier.upstreams.empty(); });
    return tiers;
}

} // namespace flamingoroute
