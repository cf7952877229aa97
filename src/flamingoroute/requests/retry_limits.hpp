#ifndef FLAMINGOROUTE_REQUESTS_RETRY_LIMITS_HPP
#define FLAMINGOROUTE_REQUESTS_RETRY_LIMITS_HPP

namespace flamingoroute {

/// How many attempts a customer's requests may take beyond the first.
struct retry_limits {
    double perRequest = 0.1; ///< retries that each request earns
    double perSecond = 1; ///< retries that a customer with few requests earns
    double burst = 10; ///< retries in a row

    bool operator==(const retry_limits&) const = default;
};

} // namespace flamingoroute

#endif
