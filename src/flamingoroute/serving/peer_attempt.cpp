#include "flamingoroute/serving/peer_attempt.hpp"

#include "flamingoroute/proxy/client_connection.hpp"
#include "flamingoroute/requests/header_rules.hpp"
#include "flamingoroute/serving/local_answer.hpp"
#include "flamingoroute/serving/serving_state.hpp"

#include <algorithm>
#include <charconv>

namespace flamingoroute {

namespace {

/// Covers several round trips between two regions.
constexpr milliseconds connectTimeout { 500 };
constexpr milliseconds maxIdleTime { 2000 };
/// For the way back, so that the peer's answer at the deadline arrives in time.
constexpr microseconds returnTime { 20'000 };
constexpr const char* notForwardedHeader = "Flamingo-Not-Forwarded";

} // namespace

peer_attempt::peer_attempt(serving_state& state, const member& peer)
    : m_state(state)
{
    m_peer.name = upstream_id(peer.instance.value());
    m_peer.address = peer.forwardAddress;
}

peer_attempt::~peer_attempt() { cancel(); }

void peer_attempt::send(const http_request& request, done_callback done)
{
    m_connection = m_state.peerConnections.acquire(m_peer, maxIdleTime);
    m_connection->exchange(request, connectTimeout, [this, done = std::move(done)](const exchange_result& result) {
        if (const auto connection = std::exchange(m_connection, nullptr))
            m_state.peerConnections.release(m_peer, connection);
        done(result);
    });
}

void peer_attempt::cancel()
{
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->cancel();
}

bool peer_attempt::hasSent() const { return m_connection && m_connection->hasSent(); }

caller_answer notForwardedAnswer()
{
    constexpr int unavailable = 503;
    auto answer = localAnswer(unavailable, "no_reachable_upstream");
    answer.headers.push_back({ notForwardedHeader, "1" });
    return answer;
}

bool isNotForwarded(const caller_answer& answer) { return !headerValue(answer.headers, notForwardedHeader).empty(); }

http_request forwardedRequest(
    const serving_state& state, const http_request& request, microseconds timeLeft, int attemptsLeft)
{
    http_request forwarded = request;
    forwarded.headers.clear();
    for (const auto& header : endToEndHeaders(request.headers)) {
        const bool isReplaced = isSameHeaderName(header.name, state.headers.remainingTime)
            || isSameHeaderName(header.name, attemptsLeftHeader) || isSameHeaderName(header.name, "Expect");
        if (!isReplaced)
            forwarded.headers.push_back(header);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(timeLeft - returnTime);
    forwarded.headers.push_back(
        { state.headers.remainingTime, std::to_string(std::max<std::int64_t>(1, left.count())) });
    forwarded.headers.push_back({ attemptsLeftHeader, std::to_string(attemptsLeft) });
    return forwarded;
}

int attemptsLeftOf(const http_request& request, int fallback)
{
    const std::string text = headerValue(request.headers, attemptsLeftHeader);
    int number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = problem == std::errc {} && end == text.data() + text.size();
    return isNumber ? std::min(number, fallback) : fallback;
}

} // namespace flamingoroute
