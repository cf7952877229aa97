#ifndef FLAMINGOROUTE_MODEL_REGISTERED_UPSTREAM_HPP
#define FLAMINGOROUTE_MODEL_REGISTERED_UPSTREAM_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// The registration of an upstream.
struct registered_upstream {
    upstream_id name;
    std::uint64_t startedAtMs = 0; ///< by the upstream's wall clock; distinguishes two starts under one name
    std::uint64_t sequence = 0; ///< of the heartbeat that wrote the entry; counts from the start on
    service_id service;
    version_id version;
    failure_domain_id failureDomain;
    endpoint address;
    int slots = 1; ///< requests it runs at one time
    bool isDraining = false; ///< accepts no new requests
    milliseconds remainingColdTime { 0 }; ///< remaining time as a cold upstream, as of the entry's last change

    bool operator==(const registered_upstream&) const = default;
};

} // namespace flamingoroute

#endif
