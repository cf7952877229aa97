#ifndef FLAMINGOROUTE_MODEL_FAILURE_DOMAIN_HPP
#define FLAMINGOROUTE_MODEL_FAILURE_DOMAIN_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// A part of a region that fails, or loses its network connection, as a unit.
struct failure_domain {
    failure_domain_id name;
    region_id region;

    bool operator==(const failure_domain&) const = default;
};

} // namespace flamingoroute

#endif
