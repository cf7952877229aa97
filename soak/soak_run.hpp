#ifndef FLAMINGOROUTE_SOAK_SOAK_RUN_HPP
#define FLAMINGOROUTE_SOAK_SOAK_RUN_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute::soak {

/// How large and how long a run is.
struct soak_options {
    std::uint64_t seed = 1;
    seconds duration { 20 };
    std::size_t nodes = 5;
    std::size_t upstreams = 9;
    std::size_t callers = 10;
    bool isVerbose = false; ///< prints each fault

    bool operator==(const soak_options&) const = default;
};

/// What came of a run.
struct soak_result {
    std::vector<std::string> problems; ///< promises that were not kept
    std::string statuses; ///< replies by status
};

/// Plays one run: callers send without pause while faults begin and end at random, overlapping and in series.
/// The seed decides which faults come when; what they meet also depends on the machine.
soak_result playSoak(const soak_options& options);

} // namespace flamingoroute::soak

#endif
