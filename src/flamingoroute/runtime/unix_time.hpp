#ifndef FLAMINGOROUTE_RUNTIME_UNIX_TIME_HPP
#define FLAMINGOROUTE_RUNTIME_UNIX_TIME_HPP

#include <chrono>
#include <cstdint>

namespace flamingoroute {

/// @return milliseconds since 1970 UTC, for operators' deadlines only
inline std::int64_t unixNowMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace flamingoroute

#endif
