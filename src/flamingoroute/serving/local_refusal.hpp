#ifndef FLAMINGOROUTE_SERVING_LOCAL_REFUSAL_HPP
#define FLAMINGOROUTE_SERVING_LOCAL_REFUSAL_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// Why a node answers a request itself.
struct local_refusal {
    int status = 503; ///< HTTP; 429 and 503 state that the request has not run and will not run
    std::string reason; ///< the decision's name in log and answer
    milliseconds retryAfter { 0 }; ///< zero: no Retry-After header

    bool operator==(const local_refusal&) const = default;
};

} // namespace flamingoroute

#endif
