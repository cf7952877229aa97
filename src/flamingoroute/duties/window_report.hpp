#ifndef FLAMINGOROUTE_DUTIES_WINDOW_REPORT_HPP
#define FLAMINGOROUTE_DUTIES_WINDOW_REPORT_HPP

#include "flamingoroute/duties/usage_counts.hpp"
#include "flamingoroute/store/stored_object.hpp"

namespace flamingoroute {

/// A report to the platform: the requests of each customer in one window.
struct window_report {
    object_version token = 0; ///< fencing token of the sender's term
    window_index window = 0;
    customer_counts requests;

    bool operator==(const window_report&) const = default;
};

} // namespace flamingoroute

#endif
