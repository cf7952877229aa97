#include "flamingoroute/keys/withdrawals.hpp"

#include <algorithm>

namespace flamingoroute {

std::vector<key_withdrawal> withdrawalsBetween(const configuration& before, const configuration& after, revision number)
{
    std::vector<key_withdrawal> result;
    for (const auto& key : before.keys) {
        if (key.isWithdrawn)
            continue;
        const bool isUsable = std::any_of(after.keys.begin(), after.keys.end(),
            [&key](const access_key& other) { return other.name == key.name && !other.isWithdrawn; });
        if (!isUsable)
            result.push_back(key_withdrawal { key.name.value(), number });
    }
    return result;
}

} // namespace flamingoroute
