#ifndef FLAMINGOROUTE_SERVING_PEER_ATTEMPT_HPP
#define FLAMINGOROUTE_SERVING_PEER_ATTEMPT_HPP

#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/registered_upstream.hpp"
#include "flamingoroute/proxy/http_request.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <functional>
#include <memory>

namespace flamingoroute {

class client_connection;
struct exchange_result;
struct serving_state;

/// How many more upstreams may receive a request that another instance forwards, in its headers.
inline constexpr const char* attemptsLeftHeader = "Flamingo-Attempts-Left";

/// A caller's request that is forwarded to another instance, because this one reaches no upstream.
class peer_attempt {
public:
    using done_callback = std::function<void(const exchange_result&)>;

    peer_attempt(serving_state& state, const member& peer);
    ~peer_attempt();

    /// Sends @p request, which the peer handles like one of its own callers.
    /// @param done called once, unless cancel() is called first
    void send(const http_request& request, done_callback done);

    /// Closes the connection; the peer then gives the request up, too.
    void cancel();

    /// @return whether any byte of the request may have been sent
    bool hasSent() const;

private:
    serving_state& m_state;
    registered_upstream m_peer; ///< as an entry of the connection pool
    std::shared_ptr<client_connection> m_connection;
};

/// @return the answer of an instance that reaches no upstream to a forwarded request
caller_answer notForwardedAnswer();

/// @return whether @p answer is notForwardedAnswer()
bool isNotForwarded(const caller_answer& answer);

/// @param request of a caller
/// @param timeLeft until the caller's deadline
/// @param attemptsLeft upstreams that may still receive it
/// @return what is sent to another instance: the same request, with its key, the time and the attempts left
http_request forwardedRequest(
    const serving_state& state, const http_request& request, microseconds timeLeft, int attemptsLeft);

/// @return the attempts left that @p request names; @p fallback if it names none
int attemptsLeftOf(const http_request& request, int fallback);

} // namespace flamingoroute

#endif
