#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_PIPELINING_CALLER_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_PIPELINING_CALLER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "http_reply.hpp"

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <vector>

namespace flamingoroute::testing {

/// An HTTP client that may send further requests before the first one is answered. Not thread-safe.
class pipelining_caller {
public:
    /// Connects; a failure shows in the replies.
    /// @param timeout of each reply
    explicit pipelining_caller(const endpoint& where, milliseconds timeout = milliseconds { 5000 });

    /// Sends a request without waiting for the answers of earlier ones.
    void send(const std::string& method, const std::string& target, const std::vector<http_header>& headers = {},
        const std::string& body = "");

    /// Sends raw bytes.
    /// @return whether the connection took them
    bool sendBytes(const std::string& bytes);

    /// @return the next answer; status 0 if the connection ended before it was complete
    http_reply receive();

private:
    bool readMore();
    void fail(const std::string& detail);

    Poco::Net::StreamSocket m_socket;
    std::string m_unread;
    std::string m_failure; ///< why the connection is unusable; empty while it is usable
};

} // namespace flamingoroute::testing

#endif
