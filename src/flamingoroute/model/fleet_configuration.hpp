#ifndef FLAMINGOROUTE_MODEL_FLEET_CONFIGURATION_HPP
#define FLAMINGOROUTE_MODEL_FLEET_CONFIGURATION_HPP

#include "flamingoroute/model/caller_limits.hpp"
#include "flamingoroute/model/customer_policy.hpp"
#include "flamingoroute/model/routing_rule.hpp"
#include "flamingoroute/model/service_policy.hpp"

#include <cstdint>
#include <vector>

namespace flamingoroute {

/// One version of the operator's configuration, as stored on the platform.
struct fleet_configuration {
    std::uint64_t version = 0;
    std::vector<routing_rule> rules;
    std::vector<service_policy> services;
    /// Whether a request needs the key of a customer, unless its rule is public; with no customer no key is accepted.
    bool requiresKeys = false;
    std::vector<customer_policy> customers;
    caller_limits limits;

    bool operator==(const fleet_configuration&) const = default;
};

} // namespace flamingoroute

#endif
