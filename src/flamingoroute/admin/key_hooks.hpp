#ifndef FLAMINGOROUTE_ADMIN_KEY_HOOKS_HPP
#define FLAMINGOROUTE_ADMIN_KEY_HOOKS_HPP

#include <functional>
#include <string>

namespace flamingoroute {

/// How the admin API makes keys.
struct key_hooks {
    std::function<std::string()> generate; ///< a new key that nobody can guess
    std::function<std::string(const std::string& key)> hash; ///< what is kept of it
};

} // namespace flamingoroute

#endif
