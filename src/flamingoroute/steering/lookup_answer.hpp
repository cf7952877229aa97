#ifndef FLAMINGOROUTE_STEERING_LOOKUP_ANSWER_HPP
#define FLAMINGOROUTE_STEERING_LOOKUP_ANSWER_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <vector>

namespace flamingoroute {

/// The instances that a caller should use, best first, and for how long.
struct lookup_answer {
    std::vector<const member*> instances; ///< valid as long as the lookup_table that returned them
    milliseconds timeToLive { 0 };

    bool operator==(const lookup_answer&) const = default;
};

} // namespace flamingoroute

#endif
