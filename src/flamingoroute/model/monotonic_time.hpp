#ifndef FLAMINGOROUTE_MODEL_MONOTONIC_TIME_HPP
#define FLAMINGOROUTE_MODEL_MONOTONIC_TIME_HPP

#include <chrono>
#include <functional>

namespace flamingoroute {

using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// A point on this machine's monotonic clock. Never compared between machines.
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Clock passed to decision code, so that tests can control the time.
using monotonic_clock = std::function<monotonic_time()>;

inline monotonic_time monotonicNow()
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

} // namespace flamingoroute

#endif
