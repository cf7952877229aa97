#ifndef FLAMINGOROUTE_PEERS_MEMBER_STATE_HPP
#define FLAMINGOROUTE_PEERS_MEMBER_STATE_HPP

#include <cstdint>

namespace flamingoroute {

/// What is known of an instance. Numbers are part of the protocol.
enum class member_state : std::uint8_t {
    live = 0,
    suspect = 1, ///< not heard for a while, or never yet; may be cut off
    leaving = 2, ///< is about to stop and takes no new work
    gone = 3, ///< has left, or the platform no longer lists it and nobody hears it
};

/// @return "live", "suspect", "leaving" or "gone"
const char* toString(member_state state);

} // namespace flamingoroute

#endif
