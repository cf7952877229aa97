#ifndef FLAMINGOROUTE_RUNTIME_CONFIG_SYNC_HOOKS_HPP
#define FLAMINGOROUTE_RUNTIME_CONFIG_SYNC_HOOKS_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/peers/member_status.hpp"

#include <functional>
#include <vector>

namespace flamingoroute {

/// Callbacks for new configurations and members. Called on the duties' threads; none may block.
struct config_sync_hooks {
    std::function<void(const configuration_ptr&)> onAdopted;
    std::function<void(const std::vector<member_status>&)> onMembers; ///< may be empty
    std::function<void(monotonic_time)> onPlatformAnswer; ///< may be empty
    std::function<bool()> isLeaving;
};

} // namespace flamingoroute

#endif
