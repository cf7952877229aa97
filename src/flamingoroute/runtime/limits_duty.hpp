#ifndef FLAMINGOROUTE_RUNTIME_LIMITS_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_LIMITS_DUTY_HPP

#include "flamingoroute/limits/rate_limiter.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"

namespace flamingoroute {

/// Passes messages to the rate limiter of an entry process and calls its tick.
class limits_duty {
public:
    /// @param limiter must outlive the duty
    explicit limits_duty(rate_limiter& limiter);

    /// Subscribes to share_request, share_grant, share_table and lease_notice. A full ring drops them; senders repeat
    /// them.
    void registerWith(message_router& router);

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

private:
    duty_thread<envelope> m_thread;
};

} // namespace flamingoroute

#endif
