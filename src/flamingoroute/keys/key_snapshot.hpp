#ifndef FLAMINGOROUTE_KEYS_KEY_SNAPSHOT_HPP
#define FLAMINGOROUTE_KEYS_KEY_SNAPSHOT_HPP

#include "flamingoroute/model/access_key.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace flamingoroute {

/// An immutable snapshot of all keys.
struct key_snapshot {
    revision number = 0;
    std::unordered_multimap<std::string, access_key> byHashPrefix;
    std::map<key_id, revision> withdrawals; ///< received ahead of the configuration that contains them

    /// @return whether @p key is refused, by the configuration or ahead of it
    bool isWithdrawn(const access_key& key) const
    {
        const auto ahead = withdrawals.find(key.name);
        return key.isWithdrawn || (ahead != withdrawals.end() && ahead->second > number);
    }
};

} // namespace flamingoroute

#endif
