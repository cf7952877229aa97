#include "flamingoroute/runtime/limits_duty.hpp"

namespace flamingoroute {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr milliseconds tickInterval { 10 };

} // namespace

limits_duty::limits_duty(rate_limiter& limiter)
    : m_thread(
        ringCapacity, tickInterval, [&limiter](const envelope& message) { limiter.receive(message); },
        [&limiter] { limiter.tick(); })
{
}

void limits_duty::registerWith(message_router& router)
{
    for (const auto kind : { message_kind::share_request, message_kind::share_grant, message_kind::share_table,
             message_kind::lease_notice })
        router.on(kind, [this](const envelope& message) { m_thread.post(message); });
}

} // namespace flamingoroute
