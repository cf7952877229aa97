#ifndef FLAMINGOROUTE_RUNTIME_VERSION_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_VERSION_DUTY_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/moves/move_follower.hpp"
#include "flamingoroute/peers/message_sender.hpp"
#include "flamingoroute/requests/attempt_result.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"

#include <atomic>
#include <functional>
#include <vector>

namespace flamingoroute {

/// Callbacks of the version duty.
struct version_duty_hooks {
    std::function<configuration_ptr()> currentConfiguration;
    std::function<std::vector<instance_id>()> members; ///< known instances, including this one
    message_sender send;
};

/// The entry side of moves: chooses versions on the request threads; observes, stops and reports on its own thread.
class version_duty {
public:
    version_duty(const move_settings& settings, version_duty_hooks hooks);
    ~version_duty();

    /// Subscribes to move_observation from leaders. Call before the bus listens.
    void registerWith(message_router& router);

    void start();
    void stop();

    /// Safe to call from any thread.
    /// @return the version for the first attempt of a request
    version_id choose(const service& requestedService, const route& matchedRoute)
    {
        return m_cap.choose(requestedService, matchedRoute);
    }

    /// Safe to call from any thread.
    /// @return the version for a retry
    version_id chooseForRetry(const service& requestedService, const route& matchedRoute)
    {
        return m_cap.choose(requestedService, matchedRoute, true);
    }

    /// Thread-safe. Drops the observation if the ring is full, which delays the verdict slightly.
    void observe(const service& requestedService, const route& matchedRoute, const version_id& version,
        const attempt_result& result);

private:
    using follower_event = std::function<void(move_follower&)>;

    void onMessage(const envelope& message);
    void onTick();
    void updateSplits();

    version_duty_hooks m_hooks;
    move_follower m_follower;
    share_cap m_cap;
    configuration_ptr m_adopted;
    std::atomic<bool> m_isFollowing { false };
    duty_thread<follower_event> m_thread;
};

} // namespace flamingoroute

#endif
