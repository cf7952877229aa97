#ifndef FLAMINGOROUTE_RUNTIME_LIMITS_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_LIMITS_DUTY_HPP

#include "flamingoroute/limits/rate_limiter.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"
#include "flamingoroute/runtime/message_router.hpp"

namespace flamingoroute {

/// Feeds the rate limiter of an entry process with messages and time.
class limits_duty {
public:
    /// @param limiter outlives the duty
    explicit limits_duty(rate_limiter& limiter);

    /// Takes share_request, share_grant, share_table and lease_notice. A full ring drops them; they are sent again.
    void registerWith(message_router& router);

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

private:
    duty_thread<envelope> m_thread;
};

} // namespace flamingoroute

#endif
