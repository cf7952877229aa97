#ifndef FLAMINGOROUTE_STEERING_WAITING_REQUEST_HPP
#define FLAMINGOROUTE_STEERING_WAITING_REQUEST_HPP

#include "flamingoroute/steering/upstream_requirements.hpp"

#include <cstdint>

namespace flamingoroute {

/// A request in the queue.
struct waiting_request {
    std::uint64_t ticket = 0;
    upstream_requirements requirements;
    monotonic_time enqueuedAt;

    bool operator==(const waiting_request&) const = default;
};

} // namespace flamingoroute

#endif
