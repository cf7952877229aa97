#ifndef FLAMINGOROUTE_REPORT_OBJECTIVE_TRACKER_HPP
#define FLAMINGOROUTE_REPORT_OBJECTIVE_TRACKER_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/report/objective_counts.hpp"
#include "flamingoroute/requests/request_record.hpp"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace flamingoroute {

/// The windows of the burn report, shortest first.
inline constexpr seconds burnWindows[] { seconds { 300 }, seconds { 3600 }, seconds { 21'600 }, seconds { 259'200 } };
inline constexpr std::size_t burnWindowCount = 4;

/// Counts good and bad requests of each service and customer over the windows of the burn report. Each window is a ring
/// of sixty buckets, so that memory does not depend on traffic. Not thread-safe.
class objective_tracker {
public:
    using service_customer = std::pair<service_id, customer_id>;

    /// @param startedAt when counting starts
    explicit objective_tracker(monotonic_time startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// Counts a finished request; ignores it if no objective of @p current applies to it.
    void recordRequest(const request_record& record, const configuration& current, monotonic_time now);

    /// @param window index into burnWindows
    /// @return the counts of that window
    objective_counts counts(const service_customer& key, std::size_t window, monotonic_time now) const;

    /// @return all services and customers with recorded requests
    std::vector<service_customer> serviceCustomers() const;

    /// @return how much of a window has passed since the start
    seconds covered(std::size_t window, monotonic_time now) const;

private:
    struct bucket {
        std::int64_t number = 0;
        objective_counts counts;
    };
    using ring = std::deque<bucket>;

    monotonic_time m_startedAt;
    std::map<service_customer, std::vector<ring>> m_rings;
};

/// @return the objective of the customer, else the service's objective for every customer, else null
const service_objective* objectiveFor(
    const configuration& current, const service_id& service, const customer_id& customer);

} // namespace flamingoroute

#endif
