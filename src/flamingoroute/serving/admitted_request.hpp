#ifndef FLAMINGOROUTE_SERVING_ADMITTED_REQUEST_HPP
#define FLAMINGOROUTE_SERVING_ADMITTED_REQUEST_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/routing/routing_table.hpp"
#include "flamingoroute/serving/upstream_selector.hpp"

#include <string>

namespace flamingoroute {

/// Result of admission: what the later steps need of a request.
struct admitted_request {
    std::string id;
    routing_table_ptr table; ///< the configuration that the request was admitted under
    const routing_rule* rule = nullptr;
    const customer_policy* customer = nullptr; ///< null on open rules without a key
    monotonic_time deadline; ///< the earlier one of the caller's deadline and the rule's timeout
    selection_query query;
};

} // namespace flamingoroute

#endif
