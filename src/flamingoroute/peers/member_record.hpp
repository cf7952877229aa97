#ifndef FLAMINGOROUTE_PEERS_MEMBER_RECORD_HPP
#define FLAMINGOROUTE_PEERS_MEMBER_RECORD_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/member.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingoroute {

/// Gossip record of an instance: its location and addresses, and the state of its entry process as the sender last
/// observed it.
struct member_record {
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string entryAddress;
    std::string controlAddress;
    incarnation entryIncarnation = 0;
    revision entryRevision = 0;
    std::uint8_t state = 0; ///< a member_state

    bool operator==(const member_record&) const = default;
    MSGPACK_DEFINE(instance, failureDomain, region, callerAddress, entryAddress, controlAddress, entryIncarnation,
        entryRevision, state)
};

/// @return a record of @p memberInfo with the addresses filled in
member_record recordOf(const member& memberInfo);

/// @return the member, or nothing if an address is malformed, the name is empty or the state is not a member_state
std::optional<member> memberOf(const member_record& record);

} // namespace flamingoroute

#endif
