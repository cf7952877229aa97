#ifndef FLAMINGOROUTE_PLACEMENT_RENDEZVOUS_SCORE_HPP
#define FLAMINGOROUTE_PLACEMENT_RENDEZVOUS_SCORE_HPP

#include "flamingoroute/steering/internal/hash64.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace flamingoroute {

inline constexpr double minRendezvousWeight = 1e-12;

/// @param limit scores from here on are not needed
/// @return the exponential variate of weighted rendezvous hashing, the lowest one is preferred; infinity if it is known
///         without a logarithm that it is not below @p limit
inline double rendezvousScore(std::uint64_t objectHash, std::uint64_t nameHash, double weight,
    double limit = std::numeric_limits<double>::infinity())
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double usedWeight = std::max(minRendezvousWeight, weight);
    const double uniform = (static_cast<double>(mix64(objectHash ^ nameHash) >> 11U) + 0.5) * scale;
    // 1 - x is never above -log(x).
    if (1 - uniform >= limit * usedWeight)
        return std::numeric_limits<double>::infinity();
    return -std::log(uniform) / usedWeight;
}

} // namespace flamingoroute

#endif
