#include "flamingoroute/requests/quarantine_exchange.hpp"

#include "flamingoroute/requests/quarantine_table.hpp"

namespace flamingoroute {

namespace {

/// Broken attempts of a request, at different upstreams, from which on the whole region is informed. No request is
/// quarantined for fewer.
constexpr std::size_t upstreamsToInform = 2;

} // namespace

quarantine_exchange::quarantine_exchange(quarantine_table& table, hooks callbacks)
    : m_table(table)
    , m_hooks(std::move(callbacks))
{
}

void quarantine_exchange::reportBroken(const std::string& fingerprint, const upstream_id& upstream, monotonic_time now)
{
    const quarantine_notice notice { fingerprint, upstream.value(), 0 };
    switch (m_hooks.currentRole(now)) {
    case role::peer:
        m_hooks.sendToAll(notice);
        return;
    case role::first_relay:
        m_hooks.sendToOtherRegions(notice);
        informRegion(notice, now);
        return;
    case role::relay:
    case role::member:
        m_hooks.sendToRelays(notice);
        return;
    }
}

bool quarantine_exchange::record(const quarantine_notice& notice, monotonic_time now)
{
    return m_table.recordBroken(notice.fingerprint, upstream_id(notice.upstreamName), milliseconds(notice.ageMs), now);
}

void quarantine_exchange::receiveReport(const quarantine_notice& notice, monotonic_time now)
{
    if (!record(notice, now) || m_hooks.currentRole(now) != role::first_relay)
        return;
    m_hooks.sendToOtherRegions(notice);
    informRegion(notice, now);
}

void quarantine_exchange::receive(const quarantine_notice& notice, monotonic_time now)
{
    if (record(notice, now) && m_hooks.currentRole(now) == role::first_relay)
        informRegion(notice, now);
}

void quarantine_exchange::informRegion(const quarantine_notice& notice, monotonic_time now)
{
    const auto broken = m_table.brokenAttempts(notice.fingerprint, now);
    if (broken.size() < upstreamsToInform)
        return;
    if (broken.size() > upstreamsToInform) {
        m_hooks.sendToRegion(notice);
        return;
    }
    for (const auto& attempt : broken)
        m_hooks.sendToRegion(attempt);
}

} // namespace flamingoroute
