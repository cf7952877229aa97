#include "flamingoroute/requests/quarantine_service.hpp"

#include "flamingoroute/requests/request_hash.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t maxRecordedBodyBytes = 64 * 1024; ///< larger bodies cost too much to hash for each answer

std::string fingerprintFor(const customer_id& customer, const route& matchedRoute, const caller_request& request)
{
    return hashOf({ customer.value(), matchedRoute.name, request.method, request.target, request.body });
}

} // namespace

quarantine_service::quarantine_service(quarantine_limits limits, quarantine_hooks hooks)
    : m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_table(limits)
{
}

std::optional<refusal> quarantine_service::check(
    const customer_id& customer, const route& matchedRoute, const caller_request& request) const
{
    if (m_isEmpty)
        return std::nullopt;
    const auto fingerprint = fingerprintFor(customer, matchedRoute, request);
    const std::lock_guard lock(m_mutex);
    const auto remaining = m_table.quarantinedFor(fingerprint, m_hooks.now());
    if (!remaining)
        return std::nullopt;
    refusal why;
    why.reason = refusal_reason::quarantined;
    why.step = "quarantine";
    why.detail = "upstreams failed while running this request; identical requests are quarantined for a time";
    why.retryAfter = std::chrono::ceil<milliseconds>(*remaining);
    return why;
}

void quarantine_service::recordBroken(
    const customer_id& customer, const route& matchedRoute, const caller_request& request, const upstream_id& target)
{
    applyNotice({ fingerprintFor(customer, matchedRoute, request), target.value(), 0 });
}

void quarantine_service::recordAnswered(
    const customer_id& customer, const route& matchedRoute, const caller_request& request)
{
    if (request.body.size() > maxRecordedBodyBytes)
        return;
    applyNotice({ fingerprintFor(customer, matchedRoute, request), "", 0 });
}

void quarantine_service::receive(const quarantine_notice& notice) { applyNotice(notice); }

void quarantine_service::applyNotice(const quarantine_notice& notice)
{
    bool shouldForward = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_hooks.now();
        if (notice.upstreamName.empty())
            shouldForward = m_table.recordAnswered(notice.fingerprint, now);
        else
            shouldForward = m_table.recordBroken(
                notice.fingerprint, upstream_id(notice.upstreamName), milliseconds(notice.ageMs), now);
        m_isEmpty = m_table.empty();
    }
    if (!shouldForward)
        return;
    for (const auto& peer : m_hooks.choosePeers(m_limits.fanout))
        m_hooks.send(peer, notice);
}

} // namespace flamingoroute
