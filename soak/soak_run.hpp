#ifndef FLAMINGOROUTE_SOAK_SOAK_RUN_HPP
#define FLAMINGOROUTE_SOAK_SOAK_RUN_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute::soak {

/// Size and duration of a run.
struct soak_options {
    std::uint64_t seed = 1;
    seconds duration { 20 };
    std::size_t nodes = 5;
    std::size_t upstreams = 9;
    std::size_t callers = 10;
    bool hasRestorations = false; ///< the store is restored from copies, beside the other faults
    bool hasOnlyRestarts = false; ///< nodes are stopped, killed and restarted; nothing else fails
    bool isVerbose = false; ///< prints each fault

    bool operator==(const soak_options&) const = default;
};

/// Result of a run.
struct soak_result {
    std::vector<std::string> problems; ///< violated guarantees
    std::string statuses; ///< number of replies by status
};

/// Executes one run: callers send requests continuously while random faults start and end, overlapping and in series.
/// The seed determines which faults occur and when; their effect also depends on the timing of the machine.
soak_result runSoak(const soak_options& options);

} // namespace flamingoroute::soak

#endif
