#ifndef FLAMINGOROUTE_SERVING_SENT_ATTEMPT_HPP
#define FLAMINGOROUTE_SERVING_SENT_ATTEMPT_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/registered_upstream.hpp"
#include "flamingoroute/serving/upstream_selector.hpp"

namespace flamingoroute {

/// An attempt that was sent: to which upstream, why and when.
struct sent_attempt {
    registered_upstream upstream; ///< as registered when the attempt was sent
    selection chosen;
    monotonic_time sentAt;
    monotonic_time startsAt; ///< when the upstream probably begins to run it
};

} // namespace flamingoroute

#endif
