#ifndef FLAMINGOROUTE_REQUESTS_UPSTREAM_CLIENT_HPP
#define FLAMINGOROUTE_REQUESTS_UPSTREAM_CLIENT_HPP

#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/requests/attempt_result.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/requests/upstream_client_options.hpp"

#include <memory>

namespace flamingoroute {

/// Sends requests to upstreams over pooled HTTP connections, one exchange at a time on each.
///
/// An answer is complete only by Content-Length or by its last chunk: an answer delimited by the end of the connection
/// cannot be distinguished from a truncated one, so its outcome is unknown. A connection with an incomplete answer is
/// closed.
class upstream_client {
public:
    explicit upstream_client(upstream_client_options options = {});
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// Sends the request once; a repeatable one may be sent again on a new connection if a pooled one is unresponsive.
    /// Thread-safe.
    /// @param target the upstream to send to
    /// @param request without credentials
    /// @param deadline the connection is closed if no complete answer arrived by then
    /// @return `not_sent` only if no byte was written, `refused` only if the upstream reported that it did not run it
    attempt_result attempt(const upstream& target, const caller_request& request, monotonic_time deadline);

    /// @return number of open connections to all upstreams
    int openConnections() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace flamingoroute

#endif
