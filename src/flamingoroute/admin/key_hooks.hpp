#ifndef FLAMINGOROUTE_ADMIN_KEY_HOOKS_HPP
#define FLAMINGOROUTE_ADMIN_KEY_HOOKS_HPP

#include <functional>
#include <string>

namespace flamingoroute {

/// Functions by which the admin API creates keys.
struct key_hooks {
    std::function<std::string()> generate; ///< @return a new unguessable key
    std::function<std::string(const std::string& key)> hash; ///< @return the hash that is stored in place of the key
};

} // namespace flamingoroute

#endif
