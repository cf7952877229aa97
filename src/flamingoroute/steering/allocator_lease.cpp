#include "flamingoroute/steering/allocator_lease.hpp"

namespace flamingoroute {

namespace {

const char* const recordKind = "slot-allocator";

}

allocator_lease::allocator_lease(object_store& store, const failure_domain_id& domain, instance_run localRun,
    milliseconds leaseDuration, allocator_lease_hooks hooks)
    : m_store(store)
    , m_name(domain.value())
    , m_localRun(std::move(localRun))
    , m_leaseDuration(leaseDuration)
    , m_hooks(std::move(hooks))
{
}

void allocator_lease::step(const monotonic_clock& clock)
{
    if (m_held)
        renew(clock);
    else
        watch(clock);
}

/// @return whether the record is now @p next; if the response to the write was lost, the record is read back
bool allocator_lease::write(const std::optional<object_version>& expected, const allocator_record& next)
{
    const auto text = toJson(next);
    const auto written
        = expected ? m_store.update(recordKind, m_name, text, *expected) : m_store.create(recordKind, m_name, text);
    if (written) {
        m_held = held_lease { next, *written };
        return true;
    }
    if (written.error().code != error_code::outcome_unknown)
        return false;
    const auto found = m_store.get(recordKind, m_name);
    const auto record = found ? allocatorRecordFromJson(found->value) : tl::unexpected(found.error());
    if (!record || record->holder != m_localRun || record->epoch != next.epoch)
        return false;
    m_held = held_lease { *record, found->version };
    return true;
}

void allocator_lease::renew(const monotonic_clock& clock)
{
    const auto requestedAt = clock();
    auto next = m_held->record;
    if (!m_hooks.hasReserve())
        next.predecessors.clear();
    if (write(m_held->version, next)) {
        m_hooks.confirm(requestedAt);
        return;
    }
    const auto found = m_store.get(recordKind, m_name);
    if (!found)
        return; // the platform is unreachable; if another instance takes the role, a later call detects it
    const auto record = allocatorRecordFromJson(found->value);
    if (!record)
        return;
    if (record->holder == m_localRun && record->epoch == m_held->record.epoch) {
        m_held = held_lease { *record, found->version };
        return;
    }
    m_held.reset();
    m_hooks.end();
    m_hooks.recordHolder(record->holder.first, record->epoch);
}

void allocator_lease::watch(const monotonic_clock& clock)
{
    const auto found = m_store.get(recordKind, m_name);
    if (!found) {
        if (found.error().code == error_code::not_found)
            acquire(std::nullopt, allocator_record { m_localRun, 1, false, {} }, true);
        return;
    }
    const auto record = allocatorRecordFromJson(found->value);
    if (!record)
        return;
    const auto now = clock();
    if (found->version != m_seenVersion) {
        m_seenVersion = found->version;
        m_seenAt = now;
    }
    const bool isOwnEarlierRun = record->holder.first == m_localRun.first && record->holder.second <= m_localRun.second;
    const bool isExpired = now - m_seenAt >= m_leaseDuration;
    if (!record->isReleased && !isOwnEarlierRun && !isExpired) {
        m_hooks.recordHolder(record->holder.first, record->epoch);
        return;
    }
    allocator_record next { m_localRun, record->epoch + 1, false, record->predecessors };
    if (!record->isReleased)
        next.predecessors.push_back(record->holder);
    acquire(*found, next, false);
}

void allocator_lease::acquire(const std::optional<stored_object>& found, const allocator_record& next, bool isFirst)
{
    const auto expected = found ? std::optional(found->version) : std::nullopt;
    if (write(expected, next))
        m_hooks.begin({ next.epoch, isFirst, next.predecessors });
}

void allocator_lease::release()
{
    if (!m_held)
        return;
    auto next = m_held->record;
    next.isReleased = true;
    const auto released = m_store.update(recordKind, m_name, toJson(next), m_held->version);
    m_held.reset();
    static_cast<void>(released); // if it failed, a successor waits until the lease expires
}

} // namespace flamingoroute
