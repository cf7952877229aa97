#include "flamingoroute/fleet/relay_choice.hpp"

#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t relaysPerRegion = 2;

std::vector<instance_id> withWideLinks(const std::vector<relay_candidate>& candidates)
{
    const int widest = std::max_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return left.linkMbps < right.linkMbps;
    })->linkMbps;
    std::vector<instance_id> all;
    std::vector<instance_id> wide;
    for (const auto& candidate : candidates) {
        all.push_back(candidate.name);
        if (2 * candidate.linkMbps >= widest)
            wide.push_back(candidate.name);
    }
    return wide.size() >= relaysPerRegion ? wide : all;
}

} // namespace

relay_choice chooseRelays(const std::vector<relay_candidate>& candidates, const instance_id& self)
{
    relay_choice choice;
    choice.names = candidates.empty() ? std::vector { self } : likelyRelays(withWideLinks(candidates));
    choice.includesSelf = std::find(choice.names.begin(), choice.names.end(), self) != choice.names.end();
    for (const auto& candidate : candidates)
        choice.validUntil = std::min(choice.validUntil, candidate.until);
    return choice;
}

std::vector<instance_id> likelyRelays(const std::vector<instance_id>& names)
{
    return pickByRendezvous("relay", names, relaysPerRegion);
}

} // namespace flamingoroute
