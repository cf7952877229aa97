#ifndef FLAMINGOROUTE_MODEL_VERSION_HPP
#define FLAMINGOROUTE_MODEL_VERSION_HPP

#include "flamingoroute/model/ids.hpp"

namespace flamingoroute {

/// A version of a service that upstreams run.
struct version {
    version_id name;
    service_id service;

    bool operator==(const version&) const = default;
};

} // namespace flamingoroute

#endif
