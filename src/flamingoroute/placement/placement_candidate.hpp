#ifndef FLAMINGOROUTE_PLACEMENT_PLACEMENT_CANDIDATE_HPP
#define FLAMINGOROUTE_PLACEMENT_PLACEMENT_CANDIDATE_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// An upstream that may receive a request, with the figures that placement uses.
struct placement_candidate {
    std::uint64_t nameHash = 0; ///< hash64 of the upstream's name
    double weight = 1; ///< share of the objects, relative to the other candidates' weights
    int slots = 1;
    double load = 0; ///< requests running or waiting there
    double slowness = 1; ///< time per request divided by the expected time; higher while cold
    double failureShare = 0;
    microseconds pathDelay { 0 }; ///< round trip
    bool isWarm = false; ///< recently handled the request's object

    bool operator==(const placement_candidate&) const = default;
};

} // namespace flamingoroute

#endif
