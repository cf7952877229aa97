#include "flamingoroute/proxy/internal/request_reader.hpp"

#include "flamingoroute/proxy/body_budget.hpp"
#include "flamingoroute/proxy/internal/beast_fields.hpp"

namespace flamingoroute {

namespace {

/// A body up to this size is read before its head is checked: a refusal can then leave the connection open.
constexpr std::size_t smallBodyBytes = 16384;
/// Allocations of this size are mapped, so that their untouched pages occupy no memory.
constexpr std::size_t mappedBytes = std::size_t { 256 } << 10U;
/// Owner of incomplete heads and of bodies whose head is not checked yet.
const std::string uncheckedOwner = "unchecked";

} // namespace

request_reader::request_reader(const caller_limits& limits)
    : framing(limits.headerBytes)
    , startedAt(monotonicNow())
    , m_maxBodyBytes(limits.bodyBytes)
{
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    parser.eager(true);
}

std::optional<caller_answer> request_reader::refusal(
    const body_policy& policy, std::size_t unread, const std::function<void()>& evict)
{
    if (!policy.budget)
        return std::nullopt;
    const auto bytes = occupiedBytes(unread);
    if (bytes == 0 && !isHeadDue())
        return std::nullopt;
    const auto now = monotonicNow();
    if (!m_lease)
        m_lease = policy.budget->open(uncheckedOwner, now, evict);
    if (isHeadDue()) {
        m_isHeadChecked = true;
        const auto admission = policy.admit(head());
        if (admission.refusal)
            return admission.refusal;
        m_lease->assignTo(admission.owner);
    }
    if (!m_lease->growTo(bytes, now))
        return policy.refuse(body_refusal::no_memory);
    if (parser.is_done())
        m_lease->complete();
    return std::nullopt;
}

bool request_reader::isHeadDue() const
{
    if (m_isHeadChecked || parser.is_done() || !parser.is_header_done())
        return false;
    const auto length = parser.content_length();
    return !length || *length > smallBodyBytes;
}

std::size_t request_reader::occupiedBytes(std::size_t unread)
{
    auto& body = parser.get().body();
    // A growing string is copied, and both copies would occupy memory for a moment.
    if (body.size() > mappedBytes && body.capacity() < m_maxBodyBytes)
        body.reserve(m_maxBodyBytes);
    const bool isMapped = body.capacity() > mappedBytes;
    const bool isInPlace = body.capacity() <= std::string().capacity();
    return unread + (isMapped ? body.size() : isInPlace ? 0 : body.capacity());
}

http_request request_reader::head() const
{
    const auto& message = parser.get();
    http_request result;
    result.method = std::string(message.method_string());
    result.target = std::string(message.target());
    result.headers = headersOf(message);
    result.isKeepAlive = message.keep_alive();
    return result;
}

http_request request_reader::release()
{
    auto result = head();
    result.body = shared_body(std::move(parser.get().body()), std::move(m_lease));
    return result;
}

} // namespace flamingoroute
