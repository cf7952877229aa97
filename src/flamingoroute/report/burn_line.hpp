#ifndef FLAMINGOROUTE_REPORT_BURN_LINE_HPP
#define FLAMINGOROUTE_REPORT_BURN_LINE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/report/objective_counts.hpp"

#include <vector>

namespace flamingoroute {

/// How fast one customer's objective at one service burns its budget.
struct burn_line {
    service_id service;
    customer_id customer;
    double goodShare = 0; ///< wanted by the objective
    std::vector<objective_counts> counts; ///< for each window
    std::vector<double> burn; ///< for each window: share of bad requests over the share that is allowed; 1 uses it up
    double budgetLeft = 1; ///< of the longest window; negative if overspent

    bool operator==(const burn_line&) const = default;
};

} // namespace flamingoroute

#endif
