#ifndef FLAMINGOROUTE_REQUESTS_REQUEST_RECORD_HPP
#define FLAMINGOROUTE_REQUESTS_REQUEST_RECORD_HPP

#include "flamingoroute/model/execution_state.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/refusal.hpp"

#include <optional>
#include <string>

namespace flamingoroute {

/// Summary of a request when it ends, for reports and for the evaluation of versions.
struct request_record {
    std::string id;
    service_id service;
    std::string routeName;
    version_id version; ///< empty if none was chosen
    customer_id customer;
    upstream_id upstream; ///< the last one tried; empty if none
    int status = 0;
    int attempts = 0;
    bool isOverRate = false; ///< refused because the customer exceeded its rate
    std::optional<refusal_reason> refused; ///< set if the request was refused instead of answered by an upstream
    execution_state execution = execution_state::not_run;
    microseconds total { 0 }; ///< from arrival to answer
    microseconds upstreamTime { 0 }; ///< spent in attempts

    bool operator==(const request_record&) const = default;
};

} // namespace flamingoroute

#endif
