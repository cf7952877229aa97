#include "flamingoroute/runtime/move_candidates.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace flamingoroute {

namespace {

/// FNV-1a: all instances must compute the same hash, whatever their standard library.
std::uint64_t hashOf(const std::string& text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const char each : text)
        hash = (hash ^ static_cast<unsigned char>(each)) * prime;
    return hash;
}

} // namespace

std::vector<instance_id> moveCandidates(const move_id& move, std::vector<instance_id> members, std::size_t count)
{
    const auto weight = [&move](const instance_id& each) { return hashOf(each.value() + "/" + move.value()); };
    std::sort(members.begin(), members.end(), [&weight](const instance_id& left, const instance_id& right) {
        const auto leftWeight = weight(left);
        const auto rightWeight = weight(right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    members.resize(std::min(count, members.size()));
    return members;
}

} // namespace flamingoroute
