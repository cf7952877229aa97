#include "flamingoroute/store/lease_client.hpp"

namespace flamingoroute {

namespace {

constexpr int maxCallsPerStep = 4; ///< read, write, read back, write again

} // namespace

lease_client::lease_client(object_store& store, lease_settings settings, monotonic_clock now)
    : m_store(store)
    , m_name(settings.name)
    , m_now(std::move(now))
    , m_machine(std::move(settings))
{
}

void lease_client::step()
{
    for (int i = 0; i < maxCallsPerStep; ++i) {
        if (!stepOnce())
            return;
    }
}

bool lease_client::stepOnce()
{
    lease_call call;
    const auto requestedAt = m_now();
    {
        const std::lock_guard lock(m_mutex);
        call = m_machine.next(requestedAt);
    }
    if (call.kind == lease_call_kind::none)
        return false;
    if (call.kind == lease_call_kind::read) {
        const auto answer = m_store.get(leaseKind, m_name);
        const std::lock_guard lock(m_mutex);
        m_machine.onRead(answer, m_now());
        return true;
    }
    const auto answer = call.kind == lease_call_kind::create
        ? m_store.create(leaseKind, m_name, call.value)
        : m_store.update(leaseKind, m_name, call.value, call.expected);
    const std::lock_guard lock(m_mutex);
    m_machine.onWritten(call, requestedAt, answer, m_now());
    return true;
}

void lease_client::setWanted(bool isWanted)
{
    const std::lock_guard lock(m_mutex);
    m_machine.setWanted(isWanted);
}

void lease_client::release()
{
    setWanted(false);
    step();
}

bool lease_client::isHeld() const
{
    const std::lock_guard lock(m_mutex);
    return m_machine.isHeld(m_now());
}

object_version lease_client::epoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_machine.epoch(m_now());
}

monotonic_time lease_client::heldUntil() const
{
    const std::lock_guard lock(m_mutex);
    return m_machine.heldUntil();
}

std::string lease_client::lastSeenHolder() const
{
    const std::lock_guard lock(m_mutex);
    return m_machine.lastSeenHolder();
}

} // namespace flamingoroute
