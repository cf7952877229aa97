#include "flamingoroute/store/lease_machine.hpp"

namespace flamingoroute {

lease_machine::lease_machine(lease_settings settings)
    : m_settings(std::move(settings))
{
}

bool lease_machine::isLocalHolder(const lease_record& record) const
{
    return record.holder == m_settings.holder && record.holderIncarnation == m_settings.holderIncarnation;
}

bool lease_machine::isAcquirable(monotonic_time now) const
{
    if (m_version == 0 && m_lostUntil)
        return now >= *m_lostUntil;
    if (m_version == 0 || m_seen.isReleased || isLocalHolder(m_seen))
        return true;
    const bool isEarlierIncarnation
        = m_seen.holder == m_settings.holder && m_seen.holderIncarnation < m_settings.holderIncarnation;
    return isEarlierIncarnation || now >= m_firstSeen + m_seen.duration + m_settings.drift;
}

lease_call lease_machine::write(bool isRelease) const
{
    lease_record record;
    record.holder = m_settings.holder;
    record.holderIncarnation = m_settings.holderIncarnation;
    record.sequence = m_sequence;
    record.duration = m_settings.duration;
    record.isReleased = isRelease;
    const bool isSameTerm = m_version != 0 && isLocalHolder(m_seen) && !m_seen.isReleased && m_epoch != 0;
    record.epoch = isSameTerm ? m_epoch : 0;
    const auto kind = m_version == 0 ? lease_call_kind::create : lease_call_kind::update;
    return lease_call { kind, encodeLease(record), m_version };
}

lease_call lease_machine::next(monotonic_time now) const
{
    const lease_call read { lease_call_kind::read, "", 0 };
    const bool isLocalUnreleased = m_isSeen && m_version != 0 && isLocalHolder(m_seen) && !m_seen.isReleased;
    if (!m_isWanted) {
        if (m_unknownOutcomeSince)
            return read;
        return isLocalUnreleased ? write(true) : lease_call {};
    }
    if (now < m_nextCall)
        return {};
    const bool isRead = m_isSeen && !m_unknownOutcomeSince;
    return isRead && isAcquirable(now) ? write(false) : read;
}

void lease_machine::onRead(const tl::expected<stored_object, error>& answer, monotonic_time now)
{
    m_nextCall = now + m_settings.retryInterval;
    if (!answer && answer.error().code != error_code::not_found)
        return;
    const auto record = answer ? parseLease(answer->value) : lease_record {};
    if (!record)
        return;
    const object_version version = answer ? answer->version : 0;
    const bool isLost = version == 0 && m_version != 0 && !m_seen.isReleased && !isLocalHolder(m_seen);
    if (isLost)
        m_lostUntil = now + m_seen.duration + m_settings.drift;
    if (!m_isSeen || version != m_version)
        m_firstSeen = now;
    m_isSeen = true;
    m_version = version;
    m_seen = *record;
    const auto unknownOutcomeSince = m_unknownOutcomeSince;
    m_unknownOutcomeSince.reset();
    if (unknownOutcomeSince && isLocalHolder(m_seen) && m_seen.sequence == m_unknownSequence) {
        recordLocalWrite(m_seen, version, *unknownOutcomeSince);
        return;
    }
    if (!isLocalHolder(m_seen))
        m_epoch = 0;
    if (isAcquirable(now))
        m_nextCall = now;
}

void lease_machine::onWritten(const lease_call& made, monotonic_time requestedAt,
    const tl::expected<object_version, error>& answer, monotonic_time now)
{
    m_nextCall = now + m_settings.retryInterval;
    if (answer) {
        const auto record = parseLease(made.value);
        m_firstSeen = now;
        m_isSeen = true;
        m_version = *answer;
        m_seen = *record;
        recordLocalWrite(*record, *answer, requestedAt);
        return;
    }
    switch (answer.error().code) {
    case error_code::outcome_unknown:
        m_unknownOutcomeSince = requestedAt;
        // The next write must differ: a store ignores one that changes nothing, and it may follow this one's late
        // effect.
        m_unknownSequence = m_sequence++;
        m_nextCall = now;
        break;
    case error_code::conflict:
    case error_code::not_found:
        m_isSeen = false;
        m_nextCall = now;
        break;
    default:
        break;
    }
}

void lease_machine::recordLocalWrite(const lease_record& record, object_version version, monotonic_time requestedAt)
{
    ++m_sequence;
    m_nextCall = requestedAt + m_settings.renewInterval;
    if (record.isReleased) {
        m_epoch = 0;
        return;
    }
    m_epoch = epochOf(record, version);
    m_heldUntil = requestedAt + m_settings.duration - m_settings.drift;
}

} // namespace flamingoroute
