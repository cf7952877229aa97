#ifndef FLAMINGOROUTE_PEERS_MEMBER_RECORD_HPP
#define FLAMINGOROUTE_PEERS_MEMBER_RECORD_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/member.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingoroute {

/// What one instance tells another of a third: where it is and how the teller last saw its entry process.
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

/// @return a record of @p where with the addresses filled in
member_record recordOf(const member& where);

/// @return the member, or nothing if an address cannot be read or the name is empty
std::optional<member> memberOf(const member_record& record);

} // namespace flamingoroute

#endif
