#ifndef FLAMINGOROUTE_PEERS_DOMAIN_CONFIRMATION_HPP
#define FLAMINGOROUTE_PEERS_DOMAIN_CONFIRMATION_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/member_status.hpp"

#include <cstddef>
#include <vector>

namespace flamingoroute {

/// How far a revision is in force in one failure domain.
struct domain_confirmation {
    failure_domain_id failureDomain;
    std::size_t confirmed = 0; ///< live or leaving instances that report the revision or a higher one
    std::vector<instance_id> missing; ///< the others that are not gone
    revision lowest = 0; ///< lowest revision that an instance of the domain last reported

    bool isInForce() const { return missing.empty(); }

    bool operator==(const domain_confirmation&) const = default;
};

/// @param members all that are known
/// @param wanted the revision asked about
/// @return a line for each failure domain, sorted by name
std::vector<domain_confirmation> confirmationsOf(const std::vector<member_status>& members, revision wanted);

} // namespace flamingoroute

#endif
