#ifndef FLAMINGOROUTE_STEERING_DECIDED_REQUEST_HPP
#define FLAMINGOROUTE_STEERING_DECIDED_REQUEST_HPP

#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/steering/chosen_upstream.hpp"

#include <tl/expected.hpp>

#include <cstdint>

namespace flamingoroute {

/// A request that left the queue: with a slot, or refused.
struct decided_request {
    std::uint64_t ticket = 0;
    tl::expected<chosen_upstream, refusal> result;

    bool operator==(const decided_request&) const = default;
};

} // namespace flamingoroute

#endif
