#ifndef FLAMINGOROUTE_SERVING_UPSTREAM_FILTER_HPP
#define FLAMINGOROUTE_SERVING_UPSTREAM_FILTER_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/moves/version_gate.hpp"

#include <optional>
#include <set>

namespace flamingoroute {

/// Which upstreams the objects of a request are distributed among. Requests with the same filter share a table.
struct upstream_filter {
    service_id service;
    std::optional<std::set<region_id>> homeRegions; ///< empty: all regions
    version_filter versions;

    bool operator==(const upstream_filter&) const = default;
};

} // namespace flamingoroute

#endif
