#ifndef FLAMINGOROUTE_FLEET_UPSTREAM_LOAD_HPP
#define FLAMINGOROUTE_FLEET_UPSTREAM_LOAD_HPP

#include <msgpack.hpp>

#include <cstdint>

namespace flamingoroute {

/// The load of an upstream, as its newest answer to an instance reported it.
struct upstream_load {
    std::uint32_t upstream = 0; ///< upstreamHash() of its name: names would be most of the bytes
    std::uint16_t requests = 0; ///< running or waiting
    std::uint16_t ageMs = 0; ///< since the answer

    bool operator==(const upstream_load&) const = default;
    MSGPACK_DEFINE(upstream, requests, ageMs)
};

/// @param nameHash hash64 of the upstream's name
/// @return the shorter hash that messages contain. Two upstreams that share one mix up their loads, which decay.
constexpr std::uint32_t upstreamHash(std::uint64_t nameHash) { return static_cast<std::uint32_t>(nameHash); }

} // namespace flamingoroute

#endif
