#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_SWEEP_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_SWEEP_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingoroute {

/// @param claims of one kind
/// @param wallSeconds current wall clock time, seconds since 1970
/// @param retention how long a claim is kept
/// @param maxCount how many may be deleted in one sweep
/// @return the claims to delete, with the version that was read
std::vector<stored_object> expiredClaims(
    const std::vector<stored_object>& claims, std::int64_t wallSeconds, seconds retention, std::size_t maxCount);

} // namespace flamingoroute

#endif
