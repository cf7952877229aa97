#ifndef FLAMINGOROUTE_RUNTIME_HTTP_HOST_HPP
#define FLAMINGOROUTE_RUNTIME_HTTP_HOST_HPP

#include "flamingoroute/model/endpoint.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/runtime/http_host_options.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace flamingoroute {

/// HTTP server on one address with one handler. Each connection uses a thread of a bounded pool.
class http_host {
public:
    using request_handler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

    http_host();
    ~http_host();
    http_host(const http_host&) = delete;
    http_host& operator=(const http_host&) = delete;

    /// @param where the address to listen on
    /// @param handler called for each request, on many threads at once
    /// @return `unavailable` if the address cannot be used
    tl::expected<void, error> start(const endpoint& where, const http_host_options& options, request_handler handler);

    /// Stops accepting connections, lets requests in progress finish, closes idle connections and ends all threads.
    /// @param timeout requests still in progress after this are aborted
    void stop(milliseconds timeout);

    /// @return the number of connections being served
    int connectionCount() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
