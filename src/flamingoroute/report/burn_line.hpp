#ifndef FLAMINGOROUTE_REPORT_BURN_LINE_HPP
#define FLAMINGOROUTE_REPORT_BURN_LINE_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/report/objective_counts.hpp"

#include <vector>

namespace flamingoroute {

/// Rate at which one customer uses up the error budget of its objective at one service.
struct burn_line {
    service_id service;
    customer_id customer;
    double goodShare = 0; ///< the objective's target
    std::vector<objective_counts> counts; ///< for each window
    std::vector<double> burn; ///< for each window: share of bad requests over the allowed share; 1 uses up the budget
    double budgetLeft = 1; ///< share of the longest window's budget that is left; negative if exceeded

    bool operator==(const burn_line&) const = default;
};

} // namespace flamingoroute

#endif
