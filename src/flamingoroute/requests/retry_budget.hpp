#ifndef FLAMINGOROUTE_REQUESTS_RETRY_BUDGET_HPP
#define FLAMINGOROUTE_REQUESTS_RETRY_BUDGET_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/retry_limits.hpp"

#include <map>

namespace flamingoroute {

/// Keeps each customer's retries to a fraction of its requests plus a small floor, so that retries never multiply load.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Told of each request, once.
    void recordRequest(const customer_id& customer, monotonic_time now);

    /// Takes one retry out of the customer's budget.
    /// @return false if the budget is used up
    bool takeRetry(const customer_id& customer, monotonic_time now);

private:
    struct account {
        double retries = 0;
        monotonic_time at;
    };

    account& accountOf(const customer_id& customer, monotonic_time now);

    retry_limits m_limits;
    std::map<customer_id, account> m_accounts; ///< bounded by the customers of the configuration
};

} // namespace flamingoroute

#endif
