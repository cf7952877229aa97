#include "flamingoroute/duties/duty_lease.hpp"

#include "flamingoroute/report/event_log.hpp"

namespace flamingoroute {

namespace {

/// Holder in place of one that cannot be read; no instance has this name.
constexpr const char* unreadableHolder = "unreadable";

} // namespace

duty_lease::duty_lease(const lease_settings& settings, object_access access, monotonic_clock now)
    : m_settings(settings)
    , m_access(std::move(access))
    , m_now(std::move(now))
    , m_machine(settings)
{
}

microseconds duty_lease::timeLeft(object_version token) const
{
    const auto now = m_now();
    const bool isCurrent = token != 0 && m_machine.epoch(now) == token;
    return isCurrent ? m_machine.heldUntil() - now : microseconds(0);
}

void duty_lease::poll(bool isCandidate)
{
    if (m_isCalling || !isCandidate)
        return;
    const auto call = m_machine.next(m_now());
    if (call.kind == lease_call_kind::none)
        return;
    m_isCalling = true;
    if (call.kind == lease_call_kind::read)
        read();
    else
        write(call);
}

void duty_lease::read()
{
    // A stale answer only delays: the lease is written on condition of the version that was read.
    m_access.read(m_mayReadStale, [this](auto answer) { onRead(std::move(answer)); });
}

void duty_lease::onRead(tl::expected<stored_object, error> answer)
{
    m_isCalling = false;
    m_mayReadStale = answer.has_value();
    if (!answer && answer.error().code != error_code::not_found)
        event_line(log_level::info, "duty.lease_not_read").with("duty", m_settings.name).with(answer.error());
    const auto record = answer ? parseLease(answer->value) : lease_record {};
    if (!record) {
        if (m_unreadableVersion != answer->version)
            event_line(log_level::warn, "duty.lease_unreadable")
                .with("duty", m_settings.name)
                .with("version", answer->version)
                .with(record.error());
        m_unreadableVersion = answer->version;
        // Its holder may be active for a whole term.
        lease_record unreadable;
        unreadable.holder = unreadableHolder;
        unreadable.duration = m_settings.duration;
        answer->value = encodeLease(unreadable);
    }
    m_machine.onRead(answer, m_now());
}

void duty_lease::write(const lease_call& call)
{
    const auto requestedAt = m_now();
    auto done = [this, call, requestedAt](auto answer) { onWritten(call, requestedAt, answer); };
    if (call.kind == lease_call_kind::create)
        m_access.create(call.value, std::move(done));
    else
        m_access.replace(call.value, call.expected, std::move(done));
}

void duty_lease::onWritten(
    const lease_call& call, monotonic_time requestedAt, const tl::expected<object_version, error>& answer)
{
    m_isCalling = false;
    m_mayReadStale = false;
    const auto before = m_machine.epoch(m_now());
    m_machine.onWritten(call, requestedAt, answer, m_now());
    if (!answer)
        event_line(log_level::info, "duty.lease_not_written").with("duty", m_settings.name).with(answer.error());
    else if (before != token())
        event_line(log_level::info, "duty.held")
            .with("duty", m_settings.name)
            .with("holder", m_settings.holder)
            .with("token", token());
}

} // namespace flamingoroute
