#ifndef FLAMINGOROUTE_REQUESTS_RETRY_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_RETRY_LIMITS_HPP

namespace flamingoroute {

/// Limits on the retries of a customer's requests.
struct retry_limits {
    double perRequest = 0.1; ///< retries added to the budget by each request
    double perSecond = 1; ///< retries added each second, also for a customer with few requests
    double burst = 10; ///< upper bound of the budget: retries in a row

    bool operator==(const retry_limits&) const = default;
};

} // namespace flamingoroute

#endif
