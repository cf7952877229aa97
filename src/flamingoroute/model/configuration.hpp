#ifndef FLAMINGOROUTE_MODEL_CONFIGURATION_HPP
#define FLAMINGOROUTE_MODEL_CONFIGURATION_HPP

#include "flamingoroute/model/access_key.hpp"
#include "flamingoroute/model/client_block.hpp"
#include "flamingoroute/model/customer.hpp"
#include "flamingoroute/model/failure_domain.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/rate_limit.hpp"
#include "flamingoroute/model/region.hpp"
#include "flamingoroute/model/service.hpp"
#include "flamingoroute/model/service_objective.hpp"
#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/model/version.hpp"
#include "flamingoroute/model/version_move.hpp"

#include <memory>
#include <vector>

namespace flamingoroute {

/// A complete published configuration. Each vector is sorted by name.
struct configuration {
    revision number = 0;
    std::vector<region> regions;
    std::vector<failure_domain> failureDomains;
    std::vector<service> services;
    std::vector<version> versions;
    std::vector<upstream> upstreams;
    std::vector<customer> customers;
    std::vector<access_key> keys;
    std::vector<rate_limit> rates;
    std::vector<version_move> moves;
    std::vector<client_block> clientBlocks;
    std::vector<service_objective> objectives;

    bool operator==(const configuration&) const = default;
};

/// The active configuration, shared by all readers.
using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace flamingoroute

#endif
