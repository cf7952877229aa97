#include "flamingoroute/requests/claim_sweep.hpp"

#include "flamingoroute/requests/claim_record.hpp"

namespace flamingoroute {

std::vector<stored_object> expiredClaims(
    const std::vector<stored_object>& claims, std::int64_t wallSeconds, seconds retention, std::size_t maxCount)
{
    std::vector<stored_object> expired;
    for (const auto& claim : claims) {
        if (expired.size() >= maxCount)
            break;
        const auto record = decodeClaim(claim.value);
        if (record && record->createdAt + retention.count() < wallSeconds)
            expired.push_back(claim);
    }
    return expired;
}

} // namespace flamingoroute
