#ifndef FLAMINGOROUTE_SOAK_SOAK_PARAMETERS_HPP
#define FLAMINGOROUTE_SOAK_SOAK_PARAMETERS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

/// Limits that the soak's settings and configuration guarantee, and the tolerances of its checks.
namespace flamingoroute::soak::parameters {

inline constexpr const char* unlimitedCustomer = "ronda"; ///< has no rate limit
inline constexpr const char* limitedCustomer = "tight";
inline constexpr double limitedRate = 20; ///< requests per second
inline constexpr double limitedBurst = 20;
inline constexpr seconds rateWindow { 5 };
inline constexpr double rateOvershoot = 0.1;
inline constexpr double rateSlack = 20;
inline constexpr seconds retryWindow { 10 };
inline constexpr double retryRatio = 0.2;
inline constexpr double retrySlack = 50;
inline constexpr milliseconds gracePeriod { 4000 };

} // namespace flamingoroute::soak::parameters

#endif
