#ifndef FLAMINGOROUTE_PEERS_DOMAIN_CONFIRMATION_HPP
#define FLAMINGOROUTE_PEERS_DOMAIN_CONFIRMATION_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/member_status.hpp"

#include <cstddef>
#include <vector>

namespace flamingoroute {

/// Which instances of one failure domain have confirmed a revision.
struct domain_confirmation {
    failure_domain_id failureDomain;
    std::size_t confirmed = 0; ///< live or leaving instances that report the revision or a higher one
    std::vector<instance_id> missing; ///< the others that are not gone
    revision lowest = 0; ///< lowest revision that an instance of the domain last reported

    bool isInForce() const { return missing.empty(); }

    bool operator==(const domain_confirmation&) const = default;
};

/// @param members all known members
/// @param target the revision to be confirmed
/// @return one confirmation per failure domain, sorted by domain name
std::vector<domain_confirmation> confirmationsOf(const std::vector<member_status>& members, revision target);

} // namespace flamingoroute

#endif
