#ifndef FLAMINGOROUTE_STEERING_CHOSEN_UPSTREAM_HPP
#define FLAMINGOROUTE_STEERING_CHOSEN_UPSTREAM_HPP

#include "flamingoroute/model/upstream.hpp"

#include <cstdint>

namespace flamingoroute {

/// A slot held at an upstream until it is released.
struct chosen_upstream {
    upstream target;
    std::uint64_t slotTicket = 0; ///< identifies the slot

    bool operator==(const chosen_upstream&) const = default;
};

} // namespace flamingoroute

#endif
