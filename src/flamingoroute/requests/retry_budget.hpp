#ifndef FLAMINGOROUTE_REQUESTS_RETRY_BUDGET_HPP
#define FLAMINGOROUTE_REQUESTS_RETRY_BUDGET_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/retry_limits.hpp"

#include <map>

namespace flamingoroute {

/// Limits each customer's retries to a fraction of its requests plus a small floor, so that retries never multiply
/// load. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Must be called once for each request; adds a fraction of a retry to the budget.
    void recordRequest(const customer_id& customer, monotonic_time now);

    /// Takes one retry from the customer's budget.
    /// @return false if the budget is exhausted
    bool takeRetry(const customer_id& customer, monotonic_time now);

private:
    struct account {
        double retries = 0;
        monotonic_time at;
    };

    account& accountOf(const customer_id& customer, monotonic_time now);

    retry_limits m_limits;
    std::map<customer_id, account> m_accounts; ///< bounded by the number of customers in the configuration
};

} // namespace flamingoroute

#endif
