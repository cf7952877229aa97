#ifndef FLAMINGOROUTE_FLEET_UPSTREAM_TIMES_HPP
#define FLAMINGOROUTE_FLEET_UPSTREAM_TIMES_HPP

#include <msgpack.hpp>

#include <cstdint>

namespace flamingoroute {

/// How many attempts at one upstream were slow, so that one slow upstream is not taken for a slow version.
struct upstream_times {
    std::uint32_t upstream = 0; ///< the lower half of the hash of its name
    std::uint32_t timed = 0; ///< attempts whose time is meaningful
    std::uint32_t slow = 0; ///< of these

    bool operator==(const upstream_times&) const = default;
    MSGPACK_DEFINE(upstream, timed, slow)
};

} // namespace flamingoroute

#endif
