#include "flamingoroute/report/burn_report.hpp"

#include <algorithm>
#include <set>

namespace flamingoroute {

namespace {

using line_map = std::map<objective_tracker::service_customer, std::vector<objective_counts>>;

double burnOf(const objective_counts& counts, double goodShare)
{
    if (counts.requests == 0)
        return 0;
    const double badShare = static_cast<double>(counts.bad()) / static_cast<double>(counts.requests);
    return badShare / (1 - goodShare);
}

void addLines(line_map& merged, const burn_usage& report)
{
    for (const auto& line : report.lines) {
        auto& windows = merged[{ service_id(line.service), customer_id(line.customer) }];
        windows.resize(burnWindowCount);
        for (std::size_t window = 0; window < std::min(line.windows.size(), burnWindowCount); ++window)
            windows[window] += line.windows[window];
    }
}

burn_line makeBurnLine(
    const objective_tracker::service_customer& key, const std::vector<objective_counts>& counts, double goodShare)
{
    burn_line line;
    line.service = key.first;
    line.customer = key.second;
    line.goodShare = goodShare;
    line.counts = counts;
    for (const auto& each : counts)
        line.burn.push_back(burnOf(each, goodShare));
    line.budgetLeft = 1 - line.burn.back();
    return line;
}

void findMissing(burn_report& result, const std::map<instance_id, burn_usage>& reports,
    const std::map<instance_id, failure_domain_id>& expectedInstances)
{
    std::set<failure_domain_id> reportingDomains;
    for (const auto& [instance, domain] : expectedInstances) {
        if (reports.count(instance) > 0)
            reportingDomains.insert(domain);
        else
            result.missingInstances.push_back(instance);
    }
    std::set<failure_domain_id> domainsWithoutReport;
    for (const auto& [instance, domain] : expectedInstances) {
        if (reportingDomains.count(domain) == 0)
            domainsWithoutReport.insert(domain);
    }
    result.missingDomains.assign(domainsWithoutReport.begin(), domainsWithoutReport.end());
}

} // namespace

burn_usage collectBurnUsage(const objective_tracker& tracker, const failure_domain_id& domain, monotonic_time now)
{
    burn_usage report;
    report.failureDomain = domain.value();
    for (std::size_t window = 0; window < burnWindowCount; ++window)
        report.coveredSeconds.push_back(tracker.covered(window, now).count());
    for (const auto& key : tracker.serviceCustomers()) {
        burn_usage_line line { key.first.value(), key.second.value(), {} };
        for (std::size_t window = 0; window < burnWindowCount; ++window)
            line.windows.push_back(tracker.counts(key, window, now));
        report.lines.push_back(line);
    }
    return report;
}

burn_report makeBurnReport(const configuration& current, const std::map<instance_id, burn_usage>& reports,
    const std::map<instance_id, failure_domain_id>& expectedInstances)
{
    burn_report result;
    result.covered.resize(burnWindowCount);
    line_map merged;
    for (const auto& [instance, report] : reports) {
        addLines(merged, report);
        for (std::size_t window = 0; window < std::min(report.coveredSeconds.size(), burnWindowCount); ++window)
            result.covered[window] = std::max(result.covered[window], seconds(report.coveredSeconds[window]));
    }
    for (const auto& [key, counts] : merged) {
        const auto* objective = objectiveFor(current, key.first, key.second);
        if (objective)
            result.lines.push_back(makeBurnLine(key, counts, objective->goodShare));
    }
    std::stable_sort(result.lines.begin(), result.lines.end(),
        [](const burn_line& left, const burn_line& right) { return left.budgetLeft < right.budgetLeft; });
    findMissing(result, reports, expectedInstances);
    return result;
}

} // namespace flamingoroute
