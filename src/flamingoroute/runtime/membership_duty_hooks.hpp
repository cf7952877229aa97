#ifndef FLAMINGOROUTE_RUNTIME_MEMBERSHIP_DUTY_HOOKS_HPP
#define FLAMINGOROUTE_RUNTIME_MEMBERSHIP_DUTY_HOOKS_HPP

#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/peers/member_status.hpp"
#include "flamingoroute/peers/message_sender.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace flamingoroute {

/// Callbacks of the membership duty, called on its thread. None may block.
struct membership_duty_hooks {
    message_sender send;
    std::function<revision()> activeRevision; ///< revision of the active configuration here
    std::function<bool()> isLeaving;

    /// @return when this process itself last confirmed that its revision is the platform's newest; may be empty
    std::function<std::optional<monotonic_time>()> lastPlatformAnswerAt;

    /// Called with the time at which the active revision was last known to be the platform's newest; may be empty.
    std::function<void(monotonic_time)> onPlatformAnswer;

    /// Called when the members change, or when this instance becomes or stops being a bridge.
    std::function<void(const std::vector<member_status>& members, const std::vector<instance_id>& remoteBridges)>
        onMembers;
};

} // namespace flamingoroute

#endif
