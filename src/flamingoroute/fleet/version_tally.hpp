#ifndef FLAMINGOROUTE_FLEET_VERSION_TALLY_HPP
#define FLAMINGOROUTE_FLEET_VERSION_TALLY_HPP

#include "flamingoroute/fleet/upstream_times.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// Attempts at one version under roll-out and at the other versions of its service, counted since the roll-out order.
struct version_tally {
    std::string service;
    std::string version;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0; ///< answered with a failure
    std::uint32_t slow = 0;
    std::uint32_t otherAttempts = 0;
    std::uint32_t otherFailures = 0;
    std::uint64_t ageMs = 0; ///< since any instance first received the order, as last received by the sender
    std::uint32_t broken = 0; ///< connection lost before the answer
    std::uint32_t otherBroken = 0;
    std::uint32_t otherSlow = 0;
    std::uint32_t untimed = 0; ///< whose time says nothing about the version
    std::uint32_t otherUntimed = 0;
    std::vector<upstream_times> upstreams; ///< of the version under roll-out, at most maxUpstreams

    /// Bounds the size of reports. With more upstreams, each receives too few attempts to show anything by itself.
    static constexpr std::size_t maxUpstreams = 64;

    /// Counts an attempt whose time is meaningful.
    /// @param upstreamHash the hash of the upstream's name
    void addTimed(std::uint64_t upstreamHash, bool isSlow);

    /// Adds the counts of @p part; the greater age applies.
    void add(const version_tally& part);

    /// Takes away the counts of @p part, which are contained in this tally.
    void subtract(const version_tally& part);

    bool operator==(const version_tally&) const = default;
    MSGPACK_DEFINE(service, version, attempts, failures, slow, otherAttempts, otherFailures, ageMs, broken, otherBroken,
        otherSlow, untimed, otherUntimed, upstreams)
};

/// Adds each of @p parts to the tally of the same service and version in @p totals, which gets it if there is none.
void addTallies(std::vector<version_tally>& totals, const std::vector<version_tally>& parts);

} // namespace flamingoroute

#endif
