#ifndef FLAMINGOROUTE_PROXY_CALLER_CONNECTION_HPP
#define FLAMINGOROUTE_PROXY_CALLER_CONNECTION_HPP

#include "flamingoroute/model/caller_limits.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/body_policy.hpp"
#include "flamingoroute/proxy/caller_exchange.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace flamingoroute {

class request_reader;

/// A caller's connection: reads pipelined requests, passes each to the handler immediately and answers them in order.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using request_handler = std::function<void(std::shared_ptr<caller_exchange>)>;
    using limits_query = std::function<caller_limits()>;

    /// @param handler called for each complete request
    /// @param limits called at the start of each request
    /// @param bodies decides which bodies are read
    caller_connection(boost::asio::ip::tcp::socket socket, request_handler handler, limits_query limits,
        std::shared_ptr<const body_policy> bodies);
    ~caller_connection();

    void start();

    /// Reads no further requests and closes the connection after the pending answers; now if there are none.
    void closeWhenIdle();

    /// @return whether answers are pending, being written or possibly still on their way to the caller
    bool isBusy() const { return !m_isClosed && (!m_pending.empty() || m_isWriting || isClosing()); }

    bool isClosed() const { return m_isClosed; }

    /// @return whether for some time neither a body nor an answer has been on its way
    bool isIdle() const;

    /// @return when bytes last arrived or were sent
    monotonic_time lastActivity() const { return m_lastActivity; }

    /// Closes the connection at once. Requests that are being handled are given up.
    void abort() { onDisconnected(); }

private:
    struct pending_answer;

    void read();
    void onRead(const boost::system::error_code& errorCode, std::size_t size);
    void parseBytes();
    bool mayReadOn(std::size_t unread);
    void onRequest();
    void sendContinueIfExpected();
    void reject(caller_answer answer);
    void complete(pending_answer& pending, caller_answer answer, bool closesWhenIdle);
    void stopReadingRequests();
    bool hasRequestsBehind() const;
    void flush();
    void onWritten(const boost::system::error_code& errorCode);
    void armTimer();
    void onTimer();
    void onDisconnected();
    void closeIfIdle();
    void closeSendingSide();
    void close();
    /// @return whether the last answer was passed to the socket and the caller has not closed its side yet
    bool isClosing() const { return m_closesAfterWrite && !m_isWriting; }
    monotonic_time timeoutAt() const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    request_handler m_handler;
    limits_query m_limitsQuery;
    std::shared_ptr<const body_policy> m_bodies;
    caller_limits m_limits;
    std::array<char, 8192> m_incoming {};
    std::string m_unread;
    std::string m_outgoing;
    std::unique_ptr<request_reader> m_reader;
    std::deque<std::shared_ptr<pending_answer>> m_pending;
    monotonic_time m_lastActivity;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isTimerSet = false;
    bool m_acceptsRequests = true;
    bool m_closesWhenIdle = false;
    bool m_closesAfterWrite = false;
    bool m_isClosed = false;
};

} // namespace flamingoroute

#endif
