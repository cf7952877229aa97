#ifndef FLAMINGOROUTE_PROXY_CALLER_CONNECTION_HPP
#define FLAMINGOROUTE_PROXY_CALLER_CONNECTION_HPP

#include "flamingoroute/model/caller_limits.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/proxy/caller_exchange.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace flamingoroute {

/// A caller's connection: reads requests as they come, hands each on at once, and answers them in their order.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using request_handler = std::function<void(std::shared_ptr<caller_exchange>)>;
    using limits_query = std::function<caller_limits()>;

    /// @param handler called for each whole request
    /// @param limits asked at the start of each request
    caller_connection(boost::asio::ip::tcp::socket socket, request_handler handler, limits_query limits);
    ~caller_connection();

    void start();

    /// Ends the connection behind the answers that are due; at once if none is.
    void endWhenIdle();

    /// @return whether answers are due or being written
    bool isBusy() const { return !m_open.empty() || m_isWriting; }

    bool isClosed() const { return m_isClosed; }

private:
    struct open_answer;
    struct request_reader;

    void read();
    void onRead(const boost::system::error_code& problem, std::size_t size);
    void takeBytes();
    void onRequest();
    void continueIfExpected();
    void reject(const boost::system::error_code& problem);
    void settle(open_answer& which, caller_answer answer, bool isLast);
    void flush();
    void onWritten(const boost::system::error_code& problem);
    void watchTime();
    void onTimer();
    void onGone();
    void close();
    monotonic_time silenceLimit() const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    request_handler m_handler;
    limits_query m_limitsQuery;
    caller_limits m_limits;
    std::array<char, 8192> m_incoming {};
    std::string m_unread;
    std::string m_outgoing;
    std::unique_ptr<request_reader> m_reader;
    std::deque<std::shared_ptr<open_answer>> m_open;
    monotonic_time m_lastActivity;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isTimerSet = false;
    bool m_takesRequests = true;
    bool m_isEnding = false;
    bool m_endsAfterWrite = false;
    bool m_isClosed = false;
};

} // namespace flamingoroute

#endif
