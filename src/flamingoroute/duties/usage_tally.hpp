#ifndef FLAMINGOROUTE_DUTIES_USAGE_TALLY_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_TALLY_HPP

#include <cstdint>

namespace flamingoroute {

/// What an instance did as the holder of the usage reports.
struct usage_tally {
    std::uint64_t recorded = 0; ///< windows recorded in the store
    std::uint64_t sent = 0; ///< reports sent, repeats included
    std::uint64_t confirmed = 0; ///< windows that the platform accepted
    std::uint64_t missed = 0; ///< windows not reported in time

    bool operator==(const usage_tally&) const = default;
};

} // namespace flamingoroute

#endif
