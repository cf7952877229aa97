#ifndef FLAMINGOROUTE_RUNTIME_LOOKUP_REQUEST_HPP
#define FLAMINGOROUTE_RUNTIME_LOOKUP_REQUEST_HPP

#include "flamingoroute/model/ids.hpp"

#include <string>

namespace flamingoroute {

/// A caller's look-up of the instances to use.
struct lookup_request {
    std::string host;
    region_id region;
    failure_domain_id failureDomain;

    bool operator==(const lookup_request&) const = default;
};

} // namespace flamingoroute

#endif
