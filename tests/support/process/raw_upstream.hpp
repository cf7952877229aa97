#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_RAW_UPSTREAM_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_RAW_UPSTREAM_HPP

#include "flamingoroute/model/upstream.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoroute::testing {

/// An upstream on a raw socket, whose script may end a connection at any point. Counts connections and requests.
class raw_upstream {
public:
    /// Handles one connection, which is closed when the script returns.
    /// @param number the connection's number, from 1
    using script = std::function<void(raw_upstream& self, Poco::Net::StreamSocket& connection, int number)>;

    explicit raw_upstream(script run);
    ~raw_upstream();

    upstream target() const;

    /// Reads one complete request and counts it.
    /// @return the request, or an empty string if the connection ended first
    std::string readRequest(Poco::Net::StreamSocket& connection);

    static void send(Poco::Net::StreamSocket& connection, const std::string& text);

    /// Waits until the client closes the connection or the upstream stops.
    void waitForClose(Poco::Net::StreamSocket& connection) const;

    int requestCount() const { return m_requestCount; }
    int connectionCount() const { return m_connectionCount; }
    int closedCount() const { return m_closedCount; }

private:
    void acceptAll();

    script m_run;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_requestCount { 0 };
    std::atomic<int> m_connectionCount { 0 };
    std::atomic<int> m_closedCount { 0 };
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

/// @return the value of a header of @p request, as returned by readRequest(); empty if there is none
std::string headerIn(const std::string& request, const std::string& name);

/// @return an HTTP answer with a Content-Length
std::string sizedAnswer(const std::string& body, const std::string& extraHeaders = "");

/// Sends @p answer to every request on the connection.
void answerAll(raw_upstream& self, Poco::Net::StreamSocket& connection, const std::string& answer);

} // namespace flamingoroute::testing

#endif
