#ifndef FLAMINGOROUTE_REPORT_BURN_REPORT_HPP
#define FLAMINGOROUTE_REPORT_BURN_REPORT_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/report/burn_line.hpp"
#include "flamingoroute/report/burn_usage.hpp"
#include "flamingoroute/report/objective_tracker.hpp"

#include <map>
#include <string>
#include <vector>

namespace flamingoroute {

/// Error-budget burn over the instances that reported, sorted by the budget left, smallest first.
struct burn_report {
    std::vector<burn_line> lines;
    std::vector<seconds> covered; ///< for each window: the longest time covered by any one instance
    std::vector<instance_id> missingInstances; ///< instances that did not report
    std::vector<failure_domain_id> missingDomains; ///< failure domains of which no instance reported

    bool operator==(const burn_report&) const = default;
};

/// @return the counts of @p tracker, in the form that is sent to other instances
burn_usage collectBurnUsage(const objective_tracker& tracker, const failure_domain_id& domain, monotonic_time now);

/// Merges the reports of entry instances.
/// @param expectedInstances the instances that should report, with their failure domains
burn_report makeBurnReport(const configuration& current, const std::map<instance_id, burn_usage>& reports,
    const std::map<instance_id, failure_domain_id>& expectedInstances);

/// @return a plain-text table
std::string burnAsText(const burn_report& report);

/// @return the report as a JSON object
std::string burnAsJson(const burn_report& report);

/// @return a self-contained HTML page with a plot of the burn by window
std::string burnAsHtml(const burn_report& report);

} // namespace flamingoroute

#endif
