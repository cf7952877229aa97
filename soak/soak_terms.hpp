#ifndef FLAMINGOROUTE_SOAK_SOAK_TERMS_HPP
#define FLAMINGOROUTE_SOAK_SOAK_TERMS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

/// What the soak's settings and configuration promise, in the figures that its judge checks.
namespace flamingoroute::soak::terms {

inline constexpr const char* openCustomer = "ronda"; ///< without a rate
inline constexpr const char* limitedCustomer = "tight";
inline constexpr double limitedRate = 20; ///< requests a second
inline constexpr double limitedBurst = 20;
inline constexpr seconds rateWindow { 5 };
inline constexpr double rateOvershoot = 0.1;
inline constexpr double rateSlack = 20;
inline constexpr seconds retryWindow { 10 };
inline constexpr double retryRatio = 0.2;
inline constexpr double retrySlack = 50;
inline constexpr milliseconds grace { 4000 };

} // namespace flamingoroute::soak::terms

#endif
