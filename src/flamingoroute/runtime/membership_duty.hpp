#ifndef FLAMINGOROUTE_RUNTIME_MEMBERSHIP_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_MEMBERSHIP_DUTY_HPP

#include "flamingoroute/peers/membership.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/membership_duty_hooks.hpp"
#include "flamingoroute/runtime/message_router.hpp"

#include <mutex>

namespace flamingoroute {

/// Runs the membership on a dedicated thread. Both processes of an instance have one.
class membership_duty {
public:
    membership_duty(member self, process_role role, incarnation localIncarnation, const std::vector<member>& seeds,
        membership_duty_hooks hooks);
    ~membership_duty();

    /// Subscribes to heartbeats. Call before the bus listens.
    void registerWith(message_router& router);

    void start();
    void stop();

    /// Safe to call from any thread.
    void onPlatformList(std::vector<platform_instance> listed);

    /// @return all members as of the last tick
    std::vector<member_status> members() const;

    /// @return when the active revision was last known to be the platform's newest, here or at any peer
    std::optional<monotonic_time> lastPlatformAnswerAt() const;

private:
    using membership_event = std::function<std::vector<heartbeat_message>(membership&, monotonic_time)>;

    void run(const membership_event& event);
    void publish(monotonic_time now);

    membership_duty_hooks m_hooks;
    membership m_membership;
    mutable std::mutex m_publishedMutex;
    std::vector<member_status> m_published;
    bool m_isBridge = false;
    std::optional<monotonic_time> m_lastPlatformAnswerAt;
    duty_thread<membership_event> m_thread;
};

} // namespace flamingoroute

#endif
