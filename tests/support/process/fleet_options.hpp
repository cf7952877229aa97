#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FLEET_OPTIONS_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_FLEET_OPTIONS_HPP

#include <string>
#include <vector>

namespace flamingoroute::testing {

/// A failure domain of a fleet.
struct domain_options {
    std::string name;
    std::string region;
    int instances = 1;
    int upstreams = 1;
};

/// A customer of a fleet; see fleet::keyOf() for its key, which starts with "key-of-" and the name.
struct customer_options {
    std::string name;
    double perSecond = 10000;
    int burst = 10000;
};

/// Composition of a fleet. Its only service is "shop", in version "shop-v1", with the routes
///
///     GET  /shop/items    repeatable
///     POST /shop/orders   not repeatable
///     POST /shop/deposits not repeatable, requires an Idempotency-Key
///     GET  /shop/open     repeatable, no API key required
struct fleet_options {
    std::vector<domain_options> domains {
        { "d1", "r1", 1, 1 },
        { "d2", "r1", 1, 1 },
        { "d3", "r2", 1, 1 },
    };
    std::vector<customer_options> customers { { "ronda" }, { "xela" } };
    int slots = 8; ///< of each upstream
    int serviceMs = 5;
    int lookupTtlMs = 300;
    std::string extraUpstreamVersion; ///< if set, each domain also has `upstreams` upstreams of this version
    std::string unclaimable = "refuse"; ///< the service's policy for requests that cannot be claimed
    bool isStartingAll = true; ///< false: the test starts the instances itself
};

} // namespace flamingoroute::testing

#endif
