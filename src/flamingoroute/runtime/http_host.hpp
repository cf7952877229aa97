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

/// An HTTP server on one address with one handler; a thread for each connection from a bounded pool.
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

    /// Accepts no more connections, lets requests in service end, closes idle connections and ends all threads.
    /// @param patience requests still in service after this are cut
    void stop(milliseconds patience);

    /// @return connections in service now
    int connectionCount() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
