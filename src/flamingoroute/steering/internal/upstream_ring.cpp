#include "flamingoroute/steering/internal/upstream_ring.hpp"

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
    for (const auto& place : current.regions) {
        for (const auto& link : place.links) {
            if (place.name == from && link.to == to)
                return &link;
            if (place.name == to && link.to == from)
                backward = &link;
        }
    }
    return backward;
}

std::vector<upstream_ring> ringsOf(const configuration& current, const service_id& wanted, const version_id& run,
    const failure_domain_id& domain, const region_id& region)
{
    std::vector<upstream_ring> rings(2);
    rings[0].region = region;
    rings[1].region = region;
    rings[1].distance = distanceInRegion;
    for (const auto& target : current.upstreams) {
        if (target.service != wanted || target.version != run)
            continue;
        const auto place = regionOfDomain(current, target.failureDomain);
        if (target.failureDomain == domain) {
            rings[0].upstreams.push_back(&target);
            continue;
        }
        auto ring = std::find_if(
            rings.begin() + 1, rings.end(), [&](const upstream_ring& candidate) { return candidate.region == place; });
        if (ring == rings.end()) {
            const auto* link = findLink(current, region, place);
            ring = rings.insert(ring, { link ? link->distance : unknownDistance, place, true, {} });
        }
        ring->upstreams.push_back(&target);
    }
    std::stable_sort(rings.begin(), rings.end(),
        [](const upstream_ring& left, const upstream_ring& right) { return left.distance < right.distance; });
    std::erase_if(rings, [](const upstream_ring& ring) { return ring.upstreams.empty(); });
    return rings;
}

} // namespace flamingoroute
