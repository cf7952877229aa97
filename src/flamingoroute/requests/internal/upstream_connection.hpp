#ifndef FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_CONNECTION_HPP
#define FLAMINGOROUTE_REQUESTS_INTERNAL_UPSTREAM_CONNECTION_HPP

#include "flamingoroute/model/upstream.hpp"
#include "flamingoroute/requests/internal/exchange_end.hpp"
#include "flamingoroute/requests/upstream_client_options.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>

namespace flamingoroute::internal {

class deadline_socket;
class upstream_session;

/// One connection to an upstream; carries one exchange at a time. Not thread-safe: one thread at a time may use it.
class upstream_connection {
public:
    /// @param deadline for connecting, in addition to the connect timeout
    /// @return the open connection, or `unavailable` or `timeout`
    static tl::expected<std::unique_ptr<upstream_connection>, error> open(
        const upstream& target, const upstream_client_options& options, monotonic_time deadline);
    ~upstream_connection();

    /// Writes @p request and reads its answer. Never reconnects and never writes the request twice.
    /// @param request a complete HTTP/1.1 request
    /// @param isHead whether this is a HEAD request, whose answer has no body
    /// @param firstByteBy an earlier deadline for the first byte of the answer
    exchange_end exchange(const std::string& request, bool isHead, monotonic_time deadline,
        std::optional<monotonic_time> firstByteBy = std::nullopt);

    /// @return whether it can be reused: no unexpected bytes and not closed by the peer
    bool isReusable() const;

    /// @return when the last complete answer was received; initially the time of connecting
    monotonic_time lastAnswerAt() const { return m_lastAnswerAt; }

private:
    upstream_connection(std::string peer, deadline_socket* socket, std::unique_ptr<upstream_session> session);
    exchange_end readAnswer(bool isHead);

    std::string m_peer;
    deadline_socket* m_socket; ///< owned by the session
    std::unique_ptr<upstream_session> m_session;
    monotonic_time m_lastAnswerAt;
};

} // namespace flamingoroute::internal

#endif
