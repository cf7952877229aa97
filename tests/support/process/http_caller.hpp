#ifndef FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_HTTP_CALLER_HPP
#define FLAMINGOROUTE_TESTS_SUPPORT_PROCESS_HTTP_CALLER_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "http_reply.hpp"

#include <memory>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPClientSession;
}

namespace flamingoroute::testing {

/// An HTTP client with one keep-alive connection. Not thread-safe.
class http_caller {
public:
    explicit http_caller(endpoint where, milliseconds timeout = milliseconds { 5000 });
    ~http_caller();

    /// Sends one request and waits for the answer; does not retry.
    http_reply call(const std::string& method, const std::string& target, const std::vector<http_header>& headers = {},
        const std::string& body = "");

private:
    endpoint m_where;
    milliseconds m_timeout;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
};

/// Sends one request on a new connection.
http_reply callOnce(const endpoint& where, const std::string& method, const std::string& target,
    const std::vector<http_header>& headers = {}, const std::string& body = "",
    milliseconds timeout = milliseconds { 5000 });

} // namespace flamingoroute::testing

#endif
