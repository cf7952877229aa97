#ifndef FLAMINGOROUTE_PEERS_MEMBER_STATE_HPP
#define FLAMINGOROUTE_PEERS_MEMBER_STATE_HPP

#include <cstdint>

namespace flamingoroute {

/// State of an instance as observed by this process. The numbers are part of the protocol.
enum class member_state : std::uint8_t {
    live = 0,
    suspect = 1, ///< no recent heartbeat, or none yet; may be partitioned
    leaving = 2, ///< is about to stop and accepts no new work
    gone = 3, ///< has left, or the platform no longer lists it and it is unreachable
};

/// @return "live", "suspect", "leaving" or "gone"
const char* toString(member_state state);

} // namespace flamingoroute

#endif
