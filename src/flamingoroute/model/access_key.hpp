#ifndef FLAMINGOROUTE_MODEL_ACCESS_KEY_HPP
#define FLAMINGOROUTE_MODEL_ACCESS_KEY_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// A key that callers of a customer present; only its keyed hash is stored.
struct access_key {
    key_id name;
    customer_id customer;
    std::string hash; ///< lower-case hex of the HMAC-SHA-256 of the key
    bool isWithdrawn = false;
    seconds maxStaleness { 0 }; ///< reject the key if the configuration is older than this; zero: never

    bool operator==(const access_key&) const = default;
};

} // namespace flamingoroute

#endif
