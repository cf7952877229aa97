#include "flamingoroute/requests/claim_name.hpp"

#include "flamingoroute/requests/request_hash.hpp"

#include <Poco/NumberFormatter.h>

namespace flamingoroute {

namespace {

constexpr int kindDigits = 2;
const std::string kindPrefix = "claim-";

} // namespace

std::string claimKind(int index)
{
    std::string digits;
    Poco::NumberFormatter::appendHex(digits, index, kindDigits);
    for (auto& digit : digits)
        digit = static_cast<char>(std::tolower(digit));
    return kindPrefix + digits;
}

claim_name claimNameOf(const customer_id& customer, const service_id& service, const std::string& idempotencyKey)
{
    const auto hash = hashOf({ customer.value(), service.value(), idempotencyKey });
    return { kindPrefix + hash.substr(0, kindDigits), hash };
}

std::string fingerprintOf(const caller_request& request)
{
    return hashOf({ request.method, request.target, request.body });
}

} // namespace flamingoroute
