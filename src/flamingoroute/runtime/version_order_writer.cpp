#include "flamingoroute/runtime/version_order_writer.hpp"

#include "flamingoroute/report/event_log.hpp"
#include "flamingoroute/runtime/fleet_port.hpp"
#include "flamingoroute/serving/serving_state.hpp"
#include "flamingoroute/store/watched_store.hpp"

namespace flamingoroute {

namespace {

/// Longer than a write takes to return through a watch or a relay.
constexpr milliseconds writeRetryInterval { 700 };

} // namespace

version_order_writer::version_order_writer(
    serving_state& state, watched_store& store, const fleet_port& port, std::function<void(const service_id&)> refresh)
    : m_state(state)
    , m_store(store)
    , m_port(port)
    , m_refresh(std::move(refresh))
{
}

void version_order_writer::writeDue(monotonic_time now)
{
    if (!m_state.versions.hasOrders())
        return;
    for (const auto& order : m_state.versions.dueStates(m_state.members.rankAmongReachable(now), now)) {
        auto& last = m_writtenAt[order.service];
        if (now - last < writeRetryInterval)
            continue;
        last = now;
        write(order);
    }
}

void version_order_writer::write(const version_order& order)
{
    const auto evidence = m_state.versions.evidenceOf(order.service);
    event_line(log_level::info, "version_order.decided")
        .with("service", order.service.value())
        .with("target", order.target.value())
        .with("state", toString(order.state))
        .with("attempts", evidence.attempts)
        .with("failures", evidence.failures)
        .with("slow", evidence.slow)
        .with("other_attempts", evidence.otherAttempts)
        .with("broken", evidence.broken)
        .with("other_failures", evidence.otherFailures)
        .with("other_slow", evidence.otherSlow)
        .with("other_broken", evidence.otherBroken)
        .with("revision", toString(order.revision));
    m_store.putStatus(m_port.versionOrderKind, order.service.value(), m_port.encodeVersionOrderStatus(order),
        order.revision, [this, service = order.service](const auto& written) {
            if (written)
                return;
            event_line(log_level::info, "version_order.not_written").with(written.error());
            // After a restoration of the store, an order that did not change has another revision.
            if (written.error().code == error_code::conflict)
                m_refresh(service);
        });
}

} // namespace flamingoroute
