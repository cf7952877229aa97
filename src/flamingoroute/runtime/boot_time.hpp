#ifndef FLAMINGOROUTE_RUNTIME_BOOT_TIME_HPP
#define FLAMINGOROUTE_RUNTIME_BOOT_TIME_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <ctime>

namespace flamingoroute {

/// @return the time since the machine's start. Unlike monotonicNow() it counts the time of a suspension, so it shows
/// that a lease ran out meanwhile. Never compared with monotonicNow().
inline monotonic_time bootTimeNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceStart = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return monotonic_time(std::chrono::duration_cast<microseconds>(sinceStart));
}

} // namespace flamingoroute

#endif
