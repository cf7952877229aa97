#ifndef FLAMINGOROUTE_KEYS_KEY_WITHDRAWAL_HPP
#define FLAMINGOROUTE_KEYS_KEY_WITHDRAWAL_HPP

#include "flamingoroute/model/ids.hpp"

#include <msgpack.hpp>

#include <string>

namespace flamingoroute {

/// Body of `key_withdrawal`: a key that a published configuration withdraws, sent ahead of that configuration.
struct key_withdrawal {
    std::string key; ///< its name, never the key itself
    revision number = 0; ///< the first configuration in which it is withdrawn

    bool operator==(const key_withdrawal&) const = default;
    MSGPACK_DEFINE(key, number)
};

} // namespace flamingoroute

#endif
