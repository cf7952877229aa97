#include "flamingoroute/runtime/incarnation_clock.hpp"

#include <chrono>

namespace flamingoroute {

incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace flamingoroute
