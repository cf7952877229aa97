#ifndef FLAMINGOROUTE_SERVING_ADMITTED_REQUEST_HPP
#define FLAMINGOROUTE_SERVING_ADMITTED_REQUEST_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/routing/routing_table.hpp"
#include "flamingoroute/serving/upstream_selector.hpp"

#include <string>

namespace flamingoroute {

/// What admission found out about a request.
struct admitted_request {
    std::string id;
    routing_table_ptr table; ///< the configuration by which it was decided
    const routing_rule* rule = nullptr;
    const customer_policy* customer = nullptr; ///< null on open rules without a key
    monotonic_time deadline; ///< the answer is due: the caller's deadline or the rule's timeout
    selection_query query;
};

} // namespace flamingoroute

#endif
