#ifndef FLAMINGOROUTE_MODEL_CLIENT_BLOCK_HPP
#define FLAMINGOROUTE_MODEL_CLIENT_BLOCK_HPP

#include "flamingoroute/model/ids.hpp"

#include <string>

namespace flamingoroute {

/// An address range of callers and the region nearest to them.
struct client_block {
    std::string name;
    std::string range; ///< CIDR notation, for example "10.1.0.0/16"
    region_id region;

    bool operator==(const client_block&) const = default;
};

} // namespace flamingoroute

#endif
