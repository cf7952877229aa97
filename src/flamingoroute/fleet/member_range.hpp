#ifndef FLAMINGOROUTE_FLEET_MEMBER_RANGE_HPP
#define FLAMINGOROUTE_FLEET_MEMBER_RANGE_HPP

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// Instances of one failure domain, by their names. Sender and receiver may know different members of a range.
struct member_range {
    std::string failureDomain;
    std::string first; ///< lowest name
    std::string last; ///< highest name

    bool operator==(const member_range&) const = default;
    MSGPACK_DEFINE(failureDomain, first, last)
};

} // namespace flamingoroute

#endif
