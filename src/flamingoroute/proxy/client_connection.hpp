#ifndef FLAMINGOROUTE_PROXY_CLIENT_CONNECTION_HPP
#define FLAMINGOROUTE_PROXY_CLIENT_CONNECTION_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/exchange_result.hpp"
#include "flamingoroute/proxy/http_request.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace flamingoroute {

class byte_budget;

/// A connection to an upstream or to the platform's store; carries one request at a time.
///
/// Only a complete answer is accepted. An answer with the id of another request is discarded, and so is one without an
/// id unless it is the connection's first. The connection is not reused after such an answer, after bytes behind an
/// answer or while no request is open, or after a close.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    using done_callback = std::function<void(exchange_result)>;

    /// @param peer address to connect to
    /// @param idHeader header with the request id, which an answer must not contradict; empty: no check
    /// @param budget memory for incomplete bodies; null: each answer is bounded by itself only
    client_connection(boost::asio::io_context& loop, const endpoint& peer, std::string idHeader,
        std::shared_ptr<byte_budget> budget = nullptr);
    ~client_connection();

    /// Sends @p request; connects first if there is no connection yet.
    /// @param connectTimeout the maximum time to connect
    /// @param done called once, unless abandon() is called first
    void exchange(const http_request& request, milliseconds connectTimeout, done_callback done);

    /// Limits when a request may be sent and for how long its bytes may be repeated by the kernel.
    /// @param timeLeft asked immediately before a request is written: zero or less fails it unsent; otherwise the
    ///        connection is reset if its bytes are not acknowledged within this time. A close resets it, too.
    void limitSending(std::function<milliseconds()> timeLeft) { m_sendTimeLeft = std::move(timeLeft); }

    /// Closes the connection; the open request's callback is not called.
    void cancel();

    /// @return whether another request may be sent on it
    bool isReusable() const;

    /// @return whether any byte of the open request may have been sent
    bool hasSent() const { return m_hasSent; }

    /// @return the time of the last complete answer
    monotonic_time idleSince() const { return m_idleSince; }

private:
    struct answer_reader;

    void connect(milliseconds timeout);
    void onConnected(const boost::system::error_code& errorCode);
    void write();
    bool applySendLimit();
    void read();
    void onRead(const boost::system::error_code& errorCode, std::size_t size);
    void parseBytes();
    void onConnectionError(const boost::system::error_code& errorCode);
    void onAnswer();
    void finish(exchange_result result);
    void fail(const std::string& step, const std::string& detail, bool isConnectFailure, bool wasConnectionLost);
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    endpoint m_peer;
    std::string m_idHeader;
    std::shared_ptr<byte_budget> m_budget;
    std::string m_requestId;
    std::string m_outgoing; ///< the head; the body follows it
    shared_body m_outgoingBody; ///< held until it is written
    std::array<char, 16384> m_incoming {};
    std::string m_unread;
    std::unique_ptr<answer_reader> m_reader;
    done_callback m_done;
    std::function<milliseconds()> m_sendTimeLeft; ///< empty: no limit
    monotonic_time m_idleSince;
    monotonic_time m_connectStartedAt;
    microseconds m_connectTime { 0 };
    milliseconds m_keepAliveFor;
    bool m_isConnected = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_hasSent = false;
    int m_discardedAnswers = 0; ///< while the open request waits for its answer
    bool m_hasAnswered = false; ///< an earlier request on this connection was answered
    bool m_mayReuse = true;
    bool m_isHead = false;
};

} // namespace flamingoroute

#endif
