#ifndef FLAMINGOROUTE_FLEET_MEMBER_SIGHT_HPP
#define FLAMINGOROUTE_FLEET_MEMBER_SIGHT_HPP

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// How a relay last saw an instance of its region.
struct member_sight {
    std::string instance;
    bool isReady = false; ///< takes callers

    bool operator==(const member_sight&) const = default;
    MSGPACK_DEFINE(instance, isReady)
};

} // namespace flamingoroute

#endif
