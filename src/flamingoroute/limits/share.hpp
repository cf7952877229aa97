#ifndef FLAMINGOROUTE_LIMITS_SHARE_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_HPP

#include <msgpack.hpp>

namespace flamingoroute {

/// A part of a customer's rate and burst.
struct share {
    double perSecond = 0; ///< tokens minted each second
    int depth = 0; ///< whole tokens that fit

    bool operator==(const share&) const = default;
    MSGPACK_DEFINE(perSecond, depth)
};

} // namespace flamingoroute

#endif
