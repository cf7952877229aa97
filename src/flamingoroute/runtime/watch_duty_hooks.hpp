#ifndef FLAMINGOROUTE_RUNTIME_WATCH_DUTY_HOOKS_HPP
#define FLAMINGOROUTE_RUNTIME_WATCH_DUTY_HOOKS_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/store/platform_instance.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

/// Callbacks of the watch duty, called on its threads.
struct watch_duty_hooks {
    std::function<void(const std::string& value)> onHead;
    std::function<void(const std::string& hash, const std::string& content)> onChunk;
    std::function<void(const std::vector<platform_instance>&)> onInstances;
    std::function<void(const error&)> onError;

    /// @return when any peer last received an answer from the platform
    std::function<std::optional<monotonic_time>()> lastPlatformAnswerAtPeers;
};

} // namespace flamingoroute

#endif
