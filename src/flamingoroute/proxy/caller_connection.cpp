#include "flamingoroute/proxy/caller_connection.hpp"

#include "flamingoroute/proxy/http_text.hpp"
#include "flamingoroute/proxy/internal/request_reader.hpp"
#include "flamingoroute/requests/header_rules.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>

namespace flamingoroute {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using socket_error = boost::system::error_code;

namespace {

/// Requests that one connection may have open; more are read once some are answered.
constexpr std::size_t maxOpenRequests = 64;
/// How long a caller may pause inside a body.
constexpr milliseconds bodyIdleTimeout { 10000 };
/// How long a body may take: no request has longer from its arrival until its deadline.
constexpr milliseconds bodyTimeout { 60000 };
const std::string continueText = "HTTP/1.1 100 Continue\r\n\r\n";

caller_answer plainAnswer(int status, const std::string& text)
{
    return caller_answer { status, { { "Content-Type", "text/plain" } }, text + "\n" };
}

caller_answer rejectionOf(const socket_error& errorCode)
{
    if (errorCode == http::error::header_limit)
        return plainAnswer(Poco::Net::HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large");
    if (errorCode == http::error::body_limit)
        return plainAnswer(Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    return plainAnswer(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "malformed request: " + errorCode.message());
}

/// @return whether the end of the request's body is known: by a length, by chunks as the only transfer coding, or as it
///         has none. What follows a body that ends elsewhere would be taken for a request.
template <typename Message> bool hasKnownFraming(const Message& message)
{
    const auto codings = message.equal_range(http::field::transfer_encoding);
    return codings.first == codings.second
        || (std::next(codings.first) == codings.second
            && isSameHeaderName(std::string(codings.first->value()), "chunked"));
}

} // namespace

struct caller_connection::pending_answer {
    std::shared_ptr<caller_exchange> exchange; ///< null for a request that was rejected before it was complete
    std::optional<caller_answer> answer;
    bool isLast = false; ///< the caller or a rejection ends the connection with this answer
    bool isHead = false; ///< the answer to a HEAD request has no body
};

caller_connection::caller_connection(asio::ip::tcp::socket socket, request_handler handler, limits_query limits,
    std::shared_ptr<const body_policy> bodies)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handler(std::move(handler))
    , m_limitsQuery(std::move(limits))
    , m_bodies(std::move(bodies))
    , m_limits(m_limitsQuery())
    , m_lastActivity(monotonicNow())
{
}

caller_connection::~caller_connection() = default;

void caller_connection::start()
{
    socket_error ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
    armTimer();
}

void caller_connection::read()
{
    if (m_isReading || m_isClosed || m_pending.size() >= maxOpenRequests)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        asio::buffer(m_incoming), [self = shared_from_this()](const socket_error& errorCode, std::size_t size) {
            self->onRead(errorCode, size);
        });
}

void caller_connection::onRead(const socket_error& errorCode, std::size_t size)
{
    m_isReading = false;
    if (m_isClosed)
        return;
    if (errorCode) {
        onDisconnected();
        return;
    }
    if (!isClosing())
        m_lastActivity = monotonicNow();
    if (m_acceptsRequests) {
        m_unread.append(m_incoming.data(), size);
        parseBytes();
    }
    read();
}

void caller_connection::parseBytes()
{
    while (!m_unread.empty() && m_acceptsRequests && !m_isClosed && m_pending.size() < maxOpenRequests) {
        if (!m_reader) {
            m_limits = m_limitsQuery();
            m_reader = std::make_unique<request_reader>(m_limits);
        }
        socket_error errorCode;
        const std::size_t used = m_reader->parser.put(asio::buffer(m_unread), errorCode);
        m_unread.erase(0, used);
        const bool needsMore = errorCode == http::error::need_more;
        if (errorCode && !needsMore) {
            reject(rejectionOf(errorCode));
            return;
        }
        const bool isOpen = !m_reader->parser.is_done();
        const auto unread = isOpen ? m_unread.size() : 0;
        if (!m_reader->framing.isWithinBounds(used, unread, m_reader->parser.get().body().size())) {
            reject(plainAnswer(
                Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "the framing of the body is too large"));
            return;
        }
        if (!mayReadOn(unread))
            return;
        if (needsMore) {
            armTimer();
            return;
        }
        if (m_reader->parser.is_done()) {
            onRequest();
        } else {
            sendContinueIfExpected();
            armTimer();
            if (used == 0)
                return;
        }
    }
}

/// Refuses the request that is being read if its head or the memory calls for it.
bool caller_connection::mayReadOn(std::size_t unread)
{
    const auto evict = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_reader)
            self->reject(self->m_bodies->refuse(body_refusal::evicted));
    };
    const auto refusal = m_reader->refusal(*m_bodies, unread, evict);
    if (refusal)
        reject(*refusal);
    return !refusal;
}

void caller_connection::sendContinueIfExpected()
{
    const bool isExpected = m_reader->parser.is_header_done() && !m_reader->hasSentContinue && m_pending.empty()
        && !m_isWriting && m_reader->parser.get().count(http::field::expect) > 0;
    if (!isExpected)
        return;
    m_reader->hasSentContinue = true;
    m_outgoing += continueText;
    flush();
}

void caller_connection::onRequest()
{
    const auto reader = std::move(m_reader);
    if (!hasKnownFraming(reader->parser.get())) {
        reject(plainAnswer(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "unsupported transfer coding"));
        return;
    }
    auto exchange = std::make_shared<caller_exchange>();
    exchange->request = reader->release();
    exchange->arrivedAt = monotonicNow();
    auto entry = std::make_shared<pending_answer>();
    entry->exchange = exchange;
    entry->isLast = !exchange->request.isKeepAlive;
    entry->isHead = exchange->request.method == "HEAD";
    m_acceptsRequests = m_acceptsRequests && !entry->isLast;
    m_pending.push_back(entry);
    exchange->answer = [weak = weak_from_this(), weakEntry = std::weak_ptr<pending_answer>(entry)](
                           caller_answer answer, bool closesWhenIdle) {
        const auto self = weak.lock();
        const auto open = weakEntry.lock();
        if (self && open)
            self->complete(*open, std::move(answer), closesWhenIdle);
    };
    m_handler(std::move(exchange));
}

void caller_connection::reject(caller_answer answer)
{
    if (m_bodies->onRejected)
        m_bodies->onRejected(answer.status);
    auto entry = std::make_shared<pending_answer>();
    entry->answer = std::move(answer);
    entry->isLast = true;
    entry->isHead
        = m_reader && m_reader->parser.is_header_done() && m_reader->parser.get().method() == http::verb::head;
    stopReadingRequests();
    m_pending.push_back(entry);
    flush();
}

void caller_connection::complete(pending_answer& pending, caller_answer answer, bool closesWhenIdle)
{
    if (pending.answer || m_isClosed)
        return;
    m_closesWhenIdle = m_closesWhenIdle || closesWhenIdle;
    pending.answer = std::move(answer);
    pending.exchange->onDisconnect = nullptr;
    pending.exchange->request.body = {};
    flush();
}

void caller_connection::stopReadingRequests()
{
    m_acceptsRequests = false;
    m_reader.reset();
    m_unread.clear();
}

bool caller_connection::hasRequestsBehind() const { return !m_pending.empty() || m_reader || !m_unread.empty(); }

void caller_connection::flush()
{
    if (m_isWriting || m_isClosed)
        return;
    while (!m_pending.empty() && m_pending.front()->answer && !m_closesAfterWrite) {
        const auto entry = m_pending.front();
        m_pending.pop_front();
        // A request that has been read in part keeps the connection open, too: its caller has not been told to stop.
        m_closesAfterWrite = entry->isLast || (m_closesWhenIdle && !hasRequestsBehind());
        m_outgoing += serializeHttp(*entry->answer, !m_closesAfterWrite, !entry->isHead);
    }
    if (m_closesAfterWrite)
        stopReadingRequests();
    if (m_outgoing.empty())
        return;
    m_isWriting = true;
    auto text = std::make_shared<std::string>(std::move(m_outgoing));
    m_outgoing.clear();
    asio::async_write(m_socket, asio::buffer(*text),
        [self = shared_from_this(), text](const socket_error& errorCode, std::size_t) { self->onWritten(errorCode); });
}

void caller_connection::onWritten(const socket_error& errorCode)
{
    m_isWriting = false;
    m_lastActivity = monotonicNow();
    if (m_isClosed)
        return;
    if (errorCode) {
        onDisconnected();
        return;
    }
    if (m_closesAfterWrite) {
        closeSendingSide();
        return;
    }
    flush();
    parseBytes();
    closeIfIdle();
    read();
    armTimer();
}

void caller_connection::closeWhenIdle()
{
    if (m_isClosed || isClosing())
        return;
    m_closesWhenIdle = true;
    stopReadingRequests();
    closeIfIdle();
}

/// Closes a connection whose last answer was written before it was told to close.
void caller_connection::closeIfIdle()
{
    if (m_closesWhenIdle && !hasRequestsBehind() && !m_isWriting && !isClosing())
        closeSendingSide();
}

/// Leaves the receiving side open for a while: closing a socket with unread bytes resets the connection, and a reset
/// discards answers that have not reached the caller yet.
void caller_connection::closeSendingSide()
{
    socket_error ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_closesAfterWrite = true;
    m_lastActivity = monotonicNow();
    read();
    armTimer();
}

monotonic_time caller_connection::timeoutAt() const
{
    constexpr milliseconds closeWait { 1000 };
    if (isClosing())
        return m_lastActivity + closeWait;
    if (m_reader && !m_reader->parser.is_header_done())
        return m_reader->startedAt + m_limits.headerTimeout;
    if (m_reader)
        return std::min<monotonic_time>(m_lastActivity + bodyIdleTimeout, m_reader->startedAt + bodyTimeout);
    return m_lastActivity + m_limits.idleTimeout;
}

void caller_connection::armTimer()
{
    const auto limit = timeoutAt();
    if (m_isClosed || (m_isTimerSet && m_timer.expiry() <= limit))
        return;
    m_isTimerSet = true;
    m_timer.expires_at(limit);
    m_timer.async_wait([weak = weak_from_this()](const socket_error& cancelled) {
        const auto self = weak.lock();
        if (!self || cancelled)
            return;
        self->m_isTimerSet = false;
        self->onTimer();
    });
}

void caller_connection::onTimer()
{
    if (m_isClosed)
        return;
    const bool isTimedOut = monotonicNow() >= timeoutAt();
    const bool isAnswering = !m_pending.empty() || m_isWriting;
    if (!isTimedOut || (!m_reader && isAnswering)) {
        m_lastActivity = isAnswering && isTimedOut ? monotonicNow() : m_lastActivity;
        armTimer();
        return;
    }
    if (m_reader)
        reject(plainAnswer(Poco::Net::HTTPResponse::HTTP_REQUEST_TIMEOUT, "the request did not arrive in time"));
    else
        onDisconnected();
}

void caller_connection::onDisconnected()
{
    close();
    for (const auto& entry : std::exchange(m_pending, {})) {
        if (entry->exchange && entry->exchange->onDisconnect)
            std::exchange(entry->exchange->onDisconnect, nullptr)();
    }
}

bool caller_connection::isIdle() const
{
    // Its last answer may still be on its way, and closing the connection would discard it.
    constexpr milliseconds minIdleTime { 1000 };
    const bool hasBody = m_reader && m_reader->parser.is_header_done();
    const bool isSettled = !isClosing() && monotonicNow() - m_lastActivity >= minIdleTime;
    return isSettled && m_pending.empty() && !m_isWriting && !hasBody;
}

void caller_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    socket_error ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

} // namespace flamingoroute
