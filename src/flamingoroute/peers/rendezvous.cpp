#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>
#include <cstdint>

namespace flamingoroute {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;
constexpr std::uint64_t mixFactor = 0xff51afd7ed558ccdULL;
constexpr int mixShiftBits = 33;

std::uint64_t weightOf(const std::string& purpose, const instance_id& candidate)
{
    std::uint64_t hash = fnvOffset;
    for (const unsigned char byte : purpose + "/" + candidate.value())
        hash = (hash ^ byte) * fnvPrime;
    hash = (hash ^ (hash >> mixShiftBits)) * mixFactor;
    return hash ^ (hash >> mixShiftBits);
}

} // namespace

std::vector<instance_id> pickByRendezvous(
    const std::string& purpose, const std::vector<instance_id>& candidates, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, instance_id>> weighted;
    weighted.reserve(candidates.size());
    for (const auto& candidate : candidates)
        weighted.emplace_back(weightOf(purpose, candidate), candidate);
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<instance_id> picked;
    for (std::size_t i = 0; i < weighted.size() && i < count; ++i)
        picked.push_back(weighted[i].second);
    return picked;
}

} // namespace flamingoroute
