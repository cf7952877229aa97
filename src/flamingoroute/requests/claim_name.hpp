#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_NAME_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_NAME_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/requests/caller_request.hpp"

#include <string>

namespace flamingoroute {

/// Claims are spread over so many kinds, so that one list call stays small.
constexpr int claimKindCount = 256;

/// Where a claim lies in the platform's store.
struct claim_name {
    std::string kind;
    std::string name;

    bool operator==(const claim_name&) const = default;
};

/// @param index from 0 to claimKindCount - 1
/// @return the kind, for example "claim-3f"
std::string claimKind(int index);

/// @return the name that each sending of the same request leads to, at whichever instance
claim_name claimNameOf(const customer_id& customer, const service_id& service, const std::string& idempotencyKey);

/// @return what tells another request with the same Idempotency-Key
std::string fingerprintOf(const caller_request& request);

} // namespace flamingoroute

#endif
