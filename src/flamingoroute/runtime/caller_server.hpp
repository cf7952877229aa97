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

/// What the caller server asks of the rest of the entry process. Called from many threads at once.
struct caller_server_hooks {
    /// @return the answer to a request for a service
    std::function<caller_answer(const caller_request& request)> serve;

    /// @param clientAddress an IP number
    /// @return which instances a caller at that address shall use, as JSON
    std::function<caller_answer(const std::string& clientAddress)> lookUp;

    /// @return whether the instance is in service
    std::function<bool()> isReady;
};

/// The HTTP side towards callers.
///
/// Paths under /flamingo/v1/ are the system's own: `instances?client=IP` (look-up) and `ready`.
/// All else goes to the services. Every answer of the system itself carries Flamingo-Execution.
class caller_server {
public:
    /// @param requestIdPrefix makes request ids unique over the fleet
    caller_server(entry_options options, std::string requestIdPrefix, caller_server_hooks hooks);

    /// @return `unavailable` if the address cannot be used
    tl::expected<void, error> start(const endpoint& where);

    /// Answers from now on close their connections, so that callers go elsewhere.
    void startDraining();

    /// @return requests being served now
    int activeCount() const { return m_active; }

    /// Waits for requests in service, at most for @p patience, and ends.
    void stop(milliseconds patience);

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
