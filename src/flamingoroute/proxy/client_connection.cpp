#include "flamingoroute/proxy/client_connection.hpp"

#include "flamingoroute/proxy/byte_budget.hpp"
#include "flamingoroute/proxy/framing_meter.hpp"
#include "flamingoroute/proxy/http_text.hpp"
#include "flamingoroute/proxy/internal/beast_fields.hpp"
#include "flamingoroute/requests/header_rules.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <netinet/tcp.h>

#include <charconv>
#include <optional>

namespace flamingoroute {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using socket_error = boost::system::error_code;

namespace {

constexpr std::size_t maxAnswerBytes = 64U << 20U;
/// Interim answers and answers of other requests before the awaited one.
constexpr int maxDiscardedAnswers = 16;
constexpr std::uint32_t maxAnswerHeaderBytes = 64U << 10U;
/// Longer than any acknowledgement between two regions takes, shorter than the timeout of most callers.
constexpr int unacknowledgedTimeoutMs = 2000;
/// A peer that lost power is detected after about three seconds, also while nothing is sent.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr milliseconds defaultKeepAlive { 9000 };
constexpr milliseconds keepAliveMargin { 500 };

template <int Name> using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

void setSocketOptions(asio::ip::tcp::socket& socket)
{
    socket_error ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(keepAliveIdleSeconds), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(keepAliveProbes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(unacknowledgedTimeoutMs), ignored);
}

/// @return the "timeout=N" of a Keep-Alive header minus a margin; a default without it, zero if N is not a number
milliseconds keepAliveFrom(const std::vector<http_header>& headers)
{
    const std::string value = headerValue(headers, "Keep-Alive");
    const std::string label = "timeout=";
    const auto at = value.find(label);
    if (at == std::string::npos)
        return defaultKeepAlive;
    int timeoutSeconds = 0;
    const char* first = value.data() + at + label.size();
    if (std::from_chars(first, value.data() + value.size(), timeoutSeconds).ec != std::errc {})
        return milliseconds(0);
    return std::max(milliseconds(0), milliseconds(seconds(timeoutSeconds)) - keepAliveMargin);
}

} // namespace

struct client_connection::answer_reader {
    http::response_parser<http::string_body> parser;
    framing_meter framing { maxAnswerHeaderBytes };
    std::shared_ptr<byte_budget> budget;
    std::size_t taken = 0; ///< bytes of the budget

    answer_reader(bool isHead, std::shared_ptr<byte_budget> sharedBudget)
        : budget(std::move(sharedBudget))
    {
        parser.body_limit(maxAnswerBytes);
        parser.header_limit(maxAnswerHeaderBytes);
        parser.eager(true);
        parser.skip(isHead);
    }

    ~answer_reader()
    {
        if (budget)
            budget->release(taken);
    }

    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;

    /// @return whether the body read so far fits into the budget
    bool isWithinBudget()
    {
        const auto size = parser.get().body().size();
        if (!budget || size <= taken)
            return true;
        const bool fits = budget->take(size - taken);
        taken = fits ? size : taken;
        return fits;
    }
};

client_connection::client_connection(
    asio::io_context& loop, const endpoint& peer, std::string idHeader, std::shared_ptr<byte_budget> budget)
    : m_socket(loop)
    , m_connectTimer(loop)
    , m_peer(peer)
    , m_idHeader(std::move(idHeader))
    , m_budget(std::move(budget))
    , m_keepAliveFor(defaultKeepAlive)
{
}

client_connection::~client_connection() = default;

bool client_connection::isReusable() const
{
    return m_isConnected && !m_isClosed && m_mayReuse && !m_done && !m_isWriting
        && monotonicNow() - m_idleSince < m_keepAliveFor;
}

void client_connection::exchange(const http_request& request, milliseconds connectTimeout, done_callback done)
{
    m_done = std::move(done);
    m_hasSent = false;
    m_discardedAnswers = 0;
    m_connectTime = microseconds(0);
    m_isHead = request.method == "HEAD";
    m_requestId = m_idHeader.empty() ? std::string() : headerValue(request.headers, m_idHeader);
    m_outgoing = serializeHead(request);
    m_outgoingBody = request.body;
    m_reader = std::make_unique<answer_reader>(m_isHead, m_budget);
    if (m_isConnected)
        write();
    else
        connect(connectTimeout);
}

void client_connection::connect(milliseconds timeout)
{
    m_connectStartedAt = monotonicNow();
    socket_error errorCode;
    const auto address = asio::ip::make_address(m_peer.address, errorCode);
    if (errorCode) {
        // The callback must not run before exchange() has returned.
        asio::post(m_socket.get_executor(), [self = shared_from_this(), errorCode] { self->onConnected(errorCode); });
        return;
    }
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([weak = weak_from_this()](const socket_error& cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self && !self->m_isConnected && !self->m_isClosed)
            self->fail("connect", "timeout", true, false);
    });
    m_socket.async_connect(asio::ip::tcp::endpoint(address, m_peer.port),
        [self = shared_from_this()](const socket_error& result) { self->onConnected(result); });
}

void client_connection::onConnected(const socket_error& errorCode)
{
    m_connectTimer.cancel();
    if (m_isClosed)
        return;
    if (errorCode) {
        fail("connect", errorCode.message(), true, false);
        return;
    }
    m_isConnected = true;
    m_connectTime = monotonicNow() - m_connectStartedAt;
    setSocketOptions(m_socket);
    write();
    read();
}

bool client_connection::applySendLimit()
{
    const auto left = m_sendTimeLeft();
    if (left <= milliseconds(0))
        return false;
    socket_error failed;
    m_socket.set_option(tcp_option<TCP_USER_TIMEOUT>(static_cast<int>(left.count())), failed);
    if (!failed)
        m_socket.set_option(asio::socket_base::linger(true, 0), failed);
    return !failed;
}

void client_connection::write()
{
    if (m_sendTimeLeft && !applySendLimit()) {
        fail("write", "no time left to send", false, false);
        return;
    }
    m_hasSent = true;
    m_isWriting = true;
    const std::array<asio::const_buffer, 2> parts { asio::buffer(m_outgoing), asio::buffer(m_outgoingBody.text()) };
    asio::async_write(m_socket, parts, [self = shared_from_this()](const socket_error& errorCode, std::size_t) {
        self->m_isWriting = false;
        self->m_outgoingBody = {};
        if (errorCode)
            self->onConnectionError(errorCode);
    });
}

void client_connection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    // A weak reference, so that an idle connection without an owner is destroyed.
    m_socket.async_read_some(
        asio::buffer(m_incoming), [weak = weak_from_this()](const socket_error& errorCode, std::size_t size) {
            if (const auto self = weak.lock())
                self->onRead(errorCode, size);
        });
}

void client_connection::onRead(const socket_error& errorCode, std::size_t size)
{
    m_isReading = false;
    if (m_isClosed)
        return;
    if (errorCode) {
        onConnectionError(errorCode);
        return;
    }
    m_unread.append(m_incoming.data(), size);
    parseBytes();
    if (!m_isClosed)
        read();
}

void client_connection::parseBytes()
{
    while (!m_unread.empty() && !m_isClosed) {
        if (!m_done) {
            // No request is open: this is a late or duplicate answer.
            close();
            return;
        }
        socket_error errorCode;
        const std::size_t used = m_reader->parser.put(asio::buffer(m_unread), errorCode);
        m_unread.erase(0, used);
        const bool needsMore = errorCode == http::error::need_more;
        if (errorCode && !needsMore) {
            fail("read", "malformed answer: " + errorCode.message(), false, false);
            return;
        }
        const auto unread = m_reader->parser.is_done() ? 0 : m_unread.size();
        if (!m_reader->framing.isWithinBounds(used, unread, m_reader->parser.get().body().size())) {
            fail("read", "the framing of the answer's body is too large", false, false);
            return;
        }
        if (!m_reader->isWithinBudget()) {
            fail("read", "answer too large for the memory that is left", false, false);
            return;
        }
        if (needsMore)
            return;
        if (m_reader->parser.is_done())
            onAnswer();
        else if (used == 0)
            return;
    }
}

void client_connection::onConnectionError(const socket_error& errorCode)
{
    if (m_isClosed)
        return;
    if (!m_done) {
        close();
        return;
    }
    const bool isEof = errorCode == asio::error::eof;
    if (isEof && m_reader->parser.is_header_done() && m_reader->parser.need_eof()) {
        socket_error rest;
        m_reader->parser.put_eof(rest);
        if (!rest && m_reader->parser.is_done()) {
            m_mayReuse = false;
            onAnswer();
            return;
        }
    }
    fail("read", errorCode.message(), false, true);
}

void client_connection::onAnswer()
{
    auto message = m_reader->parser.release();
    const int status = static_cast<int>(message.result_int());
    if (!isHttpStatus(status)) {
        fail("read", "no status of HTTP: " + std::to_string(status), false, false);
        return;
    }
    auto headers = headersOf(message);
    const bool isInterim = isInterimStatus(status);
    const std::string id = m_idHeader.empty() ? std::string() : headerValue(headers, m_idHeader);
    // Behind an earlier request, an answer without an id may be a repetition of that request's answer.
    const bool isUnattributable = id.empty() && m_hasAnswered;
    const bool hasOtherId = !m_requestId.empty() && (isUnattributable || (!id.empty() && id != m_requestId));
    if (isInterim || hasOtherId) {
        if (++m_discardedAnswers > maxDiscardedAnswers) {
            fail("read", "too many answers that belong to no open request", false, false);
            return;
        }
        m_mayReuse = m_mayReuse && !hasOtherId;
        m_reader = std::make_unique<answer_reader>(m_isHead, m_budget);
        return;
    }
    m_mayReuse = m_mayReuse && message.keep_alive() && !m_isWriting && m_unread.empty();
    m_keepAliveFor = keepAliveFrom(headers);
    m_idleSince = monotonicNow();
    m_hasAnswered = true;
    exchange_result result;
    result.outcome = attempt_outcome::answered;
    result.answer = caller_answer { status, std::move(headers), std::move(message.body()) };
    m_reader.reset();
    finish(std::move(result));
}

void client_connection::fail(
    const std::string& step, const std::string& detail, bool isConnectFailure, bool wasConnectionLost)
{
    exchange_result result;
    result.outcome = m_hasSent ? attempt_outcome::unknown : attempt_outcome::not_sent;
    result.failure = error { error_code::unavailable, step, toString(m_peer), detail };
    result.isConnectFailure = isConnectFailure;
    result.wasConnectionLost = wasConnectionLost;
    close();
    finish(std::move(result));
}

void client_connection::finish(exchange_result result)
{
    result.connectTime = m_connectTime;
    if (!m_mayReuse)
        close();
    const auto done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(result));
}

void client_connection::cancel()
{
    m_done = nullptr;
    close();
}

void client_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    socket_error ignored;
    m_connectTimer.cancel();
    m_socket.close(ignored);
}

} // namespace flamingoroute
