#ifndef FLAMINGOROUTE_MOVES_ROUTE_COUNTS_HPP
#define FLAMINGOROUTE_MOVES_ROUTE_COUNTS_HPP

#include <cstdint>

#include <msgpack.hpp>

namespace flamingoroute {

/// Attempts at both versions on one route since a step began.
struct route_counts {
    std::uint64_t newAttempts = 0;
    std::uint64_t newErrors = 0;
    std::uint64_t newTimed = 0; ///< attempts whose latency was compared with the old version's
    std::uint64_t newSlow = 0; ///< of these, clearly above the threshold of the old version's slowest tenth
    std::uint64_t oldAttempts = 0;
    std::uint64_t oldErrors = 0;

    bool operator==(const route_counts&) const = default;
    MSGPACK_DEFINE(newAttempts, newErrors, newTimed, newSlow, oldAttempts, oldErrors)
};

/// @return whether no count of @p later is below that of @p earlier
bool hasNotDecreased(const route_counts& later, const route_counts& earlier);

/// @return the attempts counted between the two
route_counts operator-(const route_counts& later, const route_counts& earlier);

route_counts& operator+=(route_counts& total, const route_counts& more);

} // namespace flamingoroute

#endif
