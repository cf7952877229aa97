#ifndef FLAMINGOROUTE_PEERS_MEMBER_STATUS_HPP
#define FLAMINGOROUTE_PEERS_MEMBER_STATUS_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/peers/member_state.hpp"

namespace flamingoroute {

/// An instance and its state as observed by this process.
struct member_status {
    member memberInfo;
    member_state state = member_state::suspect;
    incarnation entryIncarnation = 0;
    revision entryRevision = 0; ///< of the active configuration at its entry process

    bool operator==(const member_status&) const = default;
};

} // namespace flamingoroute

#endif
