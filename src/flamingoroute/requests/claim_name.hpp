#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_NAME_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_NAME_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/requests/caller_request.hpp"

#include <string>

namespace flamingoroute {

/// Number of kinds over which claims are spread, so that each list call stays small.
constexpr int claimKindCount = 256;

/// Location of a claim in the platform's store.
struct claim_name {
    std::string kind;
    std::string name;

    bool operator==(const claim_name&) const = default;
};

/// @param index from 0 to claimKindCount - 1
/// @return the kind, for example "claim-3f"
std::string claimKind(int index);

/// @return the location, which is the same for every submission of a request, through any instance
claim_name claimNameOf(const customer_id& customer, const service_id& service, const std::string& idempotencyKey);

/// @return a hash that distinguishes different requests with the same Idempotency-Key
std::string fingerprintOf(const caller_request& request);

} // namespace flamingoroute

#endif
