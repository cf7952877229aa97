#ifndef FLAMINGOROUTE_ADMIN_ADMIN_SERVER_HPP
#define FLAMINGOROUTE_ADMIN_ADMIN_SERVER_HPP

#include "flamingoroute/admin/admin_registry.hpp"
#include "flamingoroute/admin/operator_tokens.hpp"
#include "flamingoroute/runtime/http_host.hpp"

namespace flamingoroute {

/// HTTP server of the admin API: authenticates the operator (Authorization: Bearer TOKEN), parses the call and
/// dispatches it to the registry.
class admin_server {
public:
    admin_server(operator_tokens tokens, admin_registry registry);

    /// @return `unavailable` if the address cannot be used
    tl::expected<void, error> start(const endpoint& listenAddress);

    /// Stops the server. Calls that still run after @p timeout are aborted.
    void stop(milliseconds timeout);

private:
    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) const;
    admin_answer answerTo(Poco::Net::HTTPServerRequest& request) const;

    operator_tokens m_tokens;
    admin_registry m_registry;
    http_host m_host;
};

} // namespace flamingoroute

#endif
