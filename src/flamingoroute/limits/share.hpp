#ifndef FLAMINGOROUTE_LIMITS_SHARE_HPP
#define FLAMINGOROUTE_LIMITS_SHARE_HPP

#include <msgpack.hpp>

namespace flamingoroute {

/// A part of a customer's rate and burst.
struct share {
    double perSecond = 0; ///< tokens added each second
    int depth = 0; ///< capacity in whole tokens

    bool operator==(const share&) const = default;
    MSGPACK_DEFINE(perSecond, depth)
};

} // namespace flamingoroute

#endif
