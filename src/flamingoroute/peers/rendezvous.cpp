#include "flamingoroute/peers/rendezvous.hpp"

#include <algorithm>
#include <cstdint>

namespace flamingoroute {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;
constexpr std::uint64_t mixFactor = 0xff51afd7ed558ccdULL;
constexpr int mixShiftBits = 33;

std::uint64_t extendHash(std::uint64_t hash, const std::string& text)
{
    for (const unsigned char byte : text)
        hash = (hash ^ byte) * fnvPrime;
    return hash;
}

std::uint64_t weightOf(std::uint64_t purposeHash, const instance_id& candidate)
{
    std::uint64_t hash = extendHash(purposeHash, candidate.value());
    hash = (hash ^ (hash >> mixShiftBits)) * mixFactor;
    return hash ^ (hash >> mixShiftBits);
}

} // namespace

std::vector<instance_id> pickByRendezvous(
    const std::string& purpose, const std::vector<instance_id>& candidates, std::size_t count)
{
    const std::uint64_t purposeHash = extendHash(fnvOffset, purpose + "/");
    std::vector<std::pair<std::uint64_t, const instance_id*>> weighted;
    weighted.reserve(candidates.size());
    for (const auto& candidate : candidates)
        weighted.emplace_back(weightOf(purposeHash, candidate), &candidate);
    const auto pickedCount = static_cast<std::ptrdiff_t>(std::min(count, weighted.size()));
    std::partial_sort(
        weighted.begin(), weighted.begin() + pickedCount, weighted.end(), [](const auto& left, const auto& right) {
            return left.first != right.first ? left.first > right.first : *left.second > *right.second;
        });
    std::vector<instance_id> picked;
    for (auto next = weighted.begin(); next != weighted.begin() + pickedCount; ++next)
        picked.push_back(*next->second);
    return picked;
}

} // namespace flamingoroute
