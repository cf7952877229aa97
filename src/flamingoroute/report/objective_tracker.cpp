#include "flamingoroute/report/objective_tracker.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::int64_t bucketsPerWindow = 60;
constexpr int firstErrorStatus = 500;

std::int64_t bucketAt(std::size_t window, monotonic_time now)
{
    const auto width = burnWindows[window] / bucketsPerWindow;
    return now.time_since_epoch() / width;
}

bool isCallersFault(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::malformed_request:
    case refusal_reason::unknown_route:
    case refusal_reason::missing_key:
    case refusal_reason::wrong_key:
    case refusal_reason::over_rate:
    case refusal_reason::duplicate_in_progress:
    case refusal_reason::quarantined:
        return true;
    default:
        return false;
    }
}

objective_counts evaluate(const request_record& record, const service_objective& objective)
{
    objective_counts counts;
    if (record.isOverRate || (record.refused && isCallersFault(*record.refused)))
        return counts;
    counts.requests = 1;
    if (record.refused && record.execution == execution_state::not_run)
        counts.refused = 1;
    else if (record.refused || record.status >= firstErrorStatus)
        counts.failed = 1;
    else if (record.total > objective.latency)
        counts.late = 1;
    return counts;
}

} // namespace

void objective_tracker::recordRequest(const request_record& record, const configuration& current, monotonic_time now)
{
    const auto* objective = objectiveFor(current, record.service, record.customer);
    if (!objective)
        return;
    const auto counts = evaluate(record, *objective);
    if (counts.requests == 0)
        return;
    auto& rings = m_rings[{ record.service, record.customer }];
    rings.resize(burnWindowCount);
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        const auto number = bucketAt(window, now);
        auto& each = rings[window];
        if (each.empty() || each.back().number != number)
            each.push_back({ number, {} });
        each.back().counts += counts;
        while (each.front().number <= number - bucketsPerWindow)
            each.pop_front();
    }
}

objective_counts objective_tracker::counts(const service_customer& key, std::size_t window, monotonic_time now) const
{
    objective_counts total;
    const auto found = m_rings.find(key);
    if (found == m_rings.end())
        return total;
    const auto oldest = bucketAt(window, now) - bucketsPerWindow;
    for (const auto& each : found->second[window]) {
        if (each.number > oldest)
            total += each.counts;
    }
    return total;
}

std::vector<objective_tracker::service_customer> objective_tracker::serviceCustomers() const
{
    std::vector<service_customer> result;
    result.reserve(m_rings.size());
    for (const auto& [key, rings] : m_rings)
        result.push_back(key);
    return result;
}

seconds objective_tracker::covered(std::size_t window, monotonic_time now) const
{
    return std::min(burnWindows[window], std::chrono::floor<seconds>(now - m_startedAt));
}

const service_objective* objectiveFor(
    const configuration& current, const service_id& service, const customer_id& customer)
{
    const service_objective* general = nullptr;
    for (const auto& each : current.objectives) {
        if (each.service != service)
            continue;
        if (each.customer == customer && !customer.empty())
            return &each;
        if (each.customer.empty())
            general = &each;
    }
    return general;
}

} // namespace flamingoroute
