#include "flamingoroute/report/burn_report.hpp"

#include <algorithm>
#include <set>

namespace flamingoroute {

namespace {

using line_map = std::map<objective_tracker::subject, std::vector<objective_counts>>;

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

burn_line lineOf(const objective_tracker::subject& whom, const std::vector<objective_counts>& counts, double goodShare)
{
    burn_line line;
    line.service = whom.first;
    line.customer = whom.second;
    line.goodShare = goodShare;
    line.counts = counts;
    for (const auto& each : counts)
        line.burn.push_back(burnOf(each, goodShare));
    line.budgetLeft = 1 - line.burn.back();
    return line;
}

void findMissing(burn_report& result, const std::map<instance_id, burn_usage>& reports,
    const std::map<instance_id, failure_domain_id>& known)
{
    std::set<failure_domain_id> heard;
    for (const auto& [instance, domain] : known) {
        if (reports.count(instance) > 0)
            heard.insert(domain);
        else
            result.missing.push_back(instance);
    }
    std::set<failure_domain_id> silent;
    for (const auto& [instance, domain] : known) {
        if (heard.count(domain) == 0)
            silent.insert(domain);
    }
    result.missingDomains.assign(silent.begin(), silent.end());
}

} // namespace

burn_usage collectBurnUsage(const objective_tracker& tracker, const failure_domain_id& domain, monotonic_time now)
{
    burn_usage report;
    report.failureDomain = domain.value();
    for (std::size_t window = 0; window < burnWindowCount; ++window)
        report.coveredSeconds.push_back(tracker.covered(window, now).count());
    for (const auto& whom : tracker.subjects()) {
        burn_usage_line line { whom.first.value(), whom.second.value(), {} };
        for (std::size_t window = 0; window < burnWindowCount; ++window)
            line.windows.push_back(tracker.counts(whom, window, now));
        report.lines.push_back(line);
    }
    return report;
}

burn_report makeBurnReport(const configuration& current, const std::map<instance_id, burn_usage>& reports,
    const std::map<instance_id, failure_domain_id>& known)
{
    burn_report result;
    result.covered.resize(burnWindowCount);
    line_map merged;
    for (const auto& [instance, report] : reports) {
        addLines(merged, report);
        for (std::size_t window = 0; window < std::min(report.coveredSeconds.size(), burnWindowCount); ++window)
            result.covered[window] = std::max(result.covered[window], seconds(report.coveredSeconds[window]));
    }
    for (const auto& [whom, counts] : merged) {
        const auto* objective = objectiveFor(current, whom.first, whom.second);
        if (objective)
            result.lines.push_back(lineOf(whom, counts, objective->goodShare));
    }
    std::stable_sort(result.lines.begin(), result.lines.end(),
        [](const burn_line& left, const burn_line& right) { return left.budgetLeft < right.budgetLeft; });
    findMissing(result, reports, known);
    return result;
}

} // namespace flamingoroute
