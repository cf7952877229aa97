#ifndef FLAMINGOROUTE_MODEL_LISTED_UPSTREAM_HPP
#define FLAMINGOROUTE_MODEL_LISTED_UPSTREAM_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <cstdint>

namespace flamingoroute {

/// An upstream as it registered itself.
struct listed_upstream {
    upstream_id name;
    std::uint64_t startedAtMs = 0; ///< its own wall clock; tells two starts under one name apart
    service_id service;
    version_id version;
    failure_domain_id failureDomain;
    endpoint address;
    int slots = 1; ///< requests it runs at one time
    bool isDraining = false; ///< takes no new work
    milliseconds coldFor { 0 }; ///< how much longer it stays cold, as of the entry's last change

    bool operator==(const listed_upstream&) const = default;
};

} // namespace flamingoroute

#endif
