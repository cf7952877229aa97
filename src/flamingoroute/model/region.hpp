#ifndef FLAMINGOROUTE_MODEL_REGION_HPP
#define FLAMINGOROUTE_MODEL_REGION_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/region_link.hpp"

#include <vector>

namespace flamingoroute {

/// A set of failure domains near each other.
struct region {
    region_id name;
    std::vector<region_link> links;

    bool operator==(const region&) const = default;
};

} // namespace flamingoroute

#endif
