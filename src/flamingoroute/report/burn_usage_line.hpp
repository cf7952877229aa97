#ifndef FLAMINGOROUTE_REPORT_BURN_USAGE_LINE_HPP
#define FLAMINGOROUTE_REPORT_BURN_USAGE_LINE_HPP

#include "flamingoroute/report/objective_counts.hpp"

#include <string>
#include <vector>

namespace flamingoroute {

/// Counts of one service and customer in a burn_usage.
struct burn_usage_line {
    std::string service;
    std::string customer;
    std::vector<objective_counts> windows; ///< for each window of the burn report

    bool operator==(const burn_usage_line&) const = default;
    MSGPACK_DEFINE(service, customer, windows)
};

} // namespace flamingoroute

#endif
