#ifndef FLAMINGOROUTE_STEERING_SLOT_CEILING_HPP
#define FLAMINGOROUTE_STEERING_SLOT_CEILING_HPP

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// How many requests of one instance may run at an upstream at the same time.
struct slot_ceiling {
    std::string upstream;
    int ceiling = 0;

    bool operator==(const slot_ceiling&) const = default;
    MSGPACK_DEFINE(upstream, ceiling)
};

} // namespace flamingoroute

#endif
