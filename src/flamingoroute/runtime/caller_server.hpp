#ifndef FLAMINGOROUTE_RUNTIME_CALLER_SERVER_HPP
#define FLAMINGOROUTE_RUNTIME_CALLER_SERVER_HPP

#include "flamingoroute/requests/caller_answer.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/runtime/http_host.hpp"
#include "flamingoroute/settings/entry_options.hpp"

#include <atomic>
#include <functional>
#include <string>

namespace flamingoroute {

/// Callbacks of the caller server into the entry process. Called from many threads at once.
struct caller_server_hooks {
    /// @return the answer to a request for a service
    std::function<caller_answer(const caller_request& request)> serve;

    /// @param clientAddress an IP number
    /// @return the instances that a caller at that address should use, as JSON
    std::function<caller_answer(const std::string& clientAddress)> lookUp;

    /// @return whether the instance is in service
    std::function<bool()> isReady;
};

/// HTTP server for callers.
///
/// Paths under /flamingo/v1/ belong to the system: `instances?client=IP` (look-up) and `ready`.
/// All other paths belong to services. Every refusal by the system carries Flamingo-Execution.
class caller_server {
public:
    /// @param requestIdPrefix makes request ids unique across the fleet
    caller_server(entry_options options, std::string requestIdPrefix, caller_server_hooks hooks);

    /// @return `unavailable` if the address cannot be used
    tl::expected<void, error> start(const endpoint& where);

    /// Closes each connection after its next answer, so that callers use other instances.
    void startDraining();

    /// @return the number of requests in progress
    int activeCount() const { return m_active; }

    /// Waits up to @p timeout for requests in progress, then stops.
    void stop(milliseconds timeout);

private:
    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    caller_answer answerTo(Poco::Net::HTTPServerRequest& request, bool& isBodyRead);

    entry_options m_options;
    std::string m_requestIdPrefix;
    caller_server_hooks m_hooks;
    http_host m_host;
    std::atomic<std::uint64_t> m_requestCount { 0 };
    std::atomic<int> m_active { 0 };
    std::atomic<bool> m_isDraining { false };
};

} // namespace flamingoroute

#endif
