#ifndef FLAMINGOROUTE_KEYS_WITHDRAWALS_HPP
#define FLAMINGOROUTE_KEYS_WITHDRAWALS_HPP

#include "flamingoroute/keys/key_withdrawal.hpp"
#include "flamingoroute/model/configuration.hpp"

#include <vector>

namespace flamingoroute {

/// @param before the set that was active
/// @param after the set that was published as revision @p number
/// @return the keys that are usable in @p before and withdrawn or missing in @p after, to be flooded ahead of it
std::vector<key_withdrawal> withdrawalsBetween(
    const configuration& before, const configuration& after, revision number);

} // namespace flamingoroute

#endif
