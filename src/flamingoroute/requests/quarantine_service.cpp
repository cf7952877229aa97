#include "flamingoroute/requests/quarantine_service.hpp"

#include "flamingoroute/requests/request_hash.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr std::size_t largestRememberedBody = 64 * 1024; ///< bytes; a larger one costs too much to hash each time

std::string fingerprintFor(const customer_id& customer, const route& way, const caller_request& request)
{
    return hashOf({ customer.value(), way.name, request.method, request.target, request.body });
}

} // namespace

quarantine_service::quarantine_service(quarantine_limits limits, quarantine_hooks hooks)
    : m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_table(limits)
{
}

std::optional<refusal> quarantine_service::check(
    const customer_id& customer, const route& way, const caller_request& request) const
{
    if (m_isEmpty)
        return std::nullopt;
    const auto fingerprint = fingerprintFor(customer, way, request);
    const std::lock_guard lock(m_mutex);
    const auto left = m_table.quarantinedFor(fingerprint, m_hooks.now());
    if (!left)
        return std::nullopt;
    refusal why;
    why.reason = refusal_reason::quarantined;
    why.step = "quarantine";
    why.detail = "upstreams broke off under this request; requests like it are held off for a time";
    why.retryAfter = std::chrono::ceil<milliseconds>(*left);
    return why;
}

void quarantine_service::noteBroken(
    const customer_id& customer, const route& way, const caller_request& request, const upstream_id& target)
{
    learn({ fingerprintFor(customer, way, request), target.value(), 0 });
}

void quarantine_service::noteAnswered(const customer_id& customer, const route& way, const caller_request& request)
{
    if (request.body.size() > largestRememberedBody)
        return;
    learn({ fingerprintFor(customer, way, request), "", 0 });
}

void quarantine_service::receive(const quarantine_notice& notice) { learn(notice); }

void quarantine_service::learn(const quarantine_notice& notice)
{
    bool isNews = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_hooks.now();
        if (notice.upstreamName.empty())
            isNews = m_table.noteAnswered(notice.fingerprint, now);
        else
            isNews = m_table.noteBroken(
                notice.fingerprint, upstream_id(notice.upstreamName), milliseconds(notice.ageMs), now);
        m_isEmpty = m_table.empty();
    }
    if (!isNews)
        return;
    for (const auto& peer : m_hooks.choosePeers(m_limits.fanout))
        m_hooks.send(peer, notice);
}

} // namespace flamingoroute
