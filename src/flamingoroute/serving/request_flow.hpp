#ifndef FLAMINGOROUTE_SERVING_REQUEST_FLOW_HPP
#define FLAMINGOROUTE_SERVING_REQUEST_FLOW_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/member.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/placement/attempt_report.hpp"
#include "flamingoroute/proxy/caller_exchange.hpp"
#include "flamingoroute/requests/attempt_outcome.hpp"
#include "flamingoroute/serving/admitted_request.hpp"
#include "flamingoroute/serving/request_origin.hpp"
#include "flamingoroute/serving/sent_attempt.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingoroute {

class client_connection;
class peer_attempt;
struct exchange_result;
struct local_refusal;
struct serving_state;
struct upstream_answer;

/// Handles one request of a caller from its arrival to its answer: admission, attempts, retries, deadline. While this
/// instance reaches no upstream, it forwards the request to an instance that does.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(serving_state& state, std::shared_ptr<caller_exchange> exchange,
        request_origin origin = request_origin::caller);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    /// Admits the request and starts its first attempt; answers at once if it is refused or no upstream can be tried.
    void start();

    /// Ends the request as at its deadline, because the process is terminating.
    void endEarly();

    /// Forwards the request, if it waits for an upstream and may be retried: this instance reaches no upstream.
    void onPartition();

private:
    std::optional<local_refusal> admit();
    selection selectNext();
    void attempt();
    void send(const selection& chosen);
    http_request upstreamRequest(const registered_upstream& upstream) const;
    void onResult(const exchange_result& result);
    void releaseConnection(attempt_verdict verdict);
    bool takeRetry();
    bool mayRetry(const upstream_answer& interpretation);
    void stopRetrying(const upstream_answer& interpretation);
    void cancelAttempt(attempt_verdict verdict);

    std::vector<member> remainingPeers() const;
    bool shouldForward() const;
    void forward();
    void onForwarded(const exchange_result& result);

    void armTimer();
    void onTimer();
    void retryElsewhere();
    bool isUpstreamUnresponsive(monotonic_time now) const;
    void onDeadline();
    void onDisconnect();

    void refuse(const local_refusal& refusal);
    void finishWithoutSuccess(const local_refusal& ifMayHaveRun, const local_refusal& ifNotRun);
    void finish(caller_answer answer, const std::string& decision);
    void log(const std::string& decision, int status) const;
    void answerAbandoned() noexcept;

    serving_state& m_state;
    std::shared_ptr<caller_exchange> m_exchange;
    admitted_request m_request;
    boost::asio::steady_timer m_timer;

    request_origin m_origin;
    int m_maxAttempts = 0; ///< upstreams that may receive the request, from this instance or another
    int m_attempts = 0; ///< attempts whose upstream may have received the request
    int m_tries = 0; ///< all attempts, including those with an unreachable upstream
    sent_attempt m_sent;
    std::shared_ptr<client_connection> m_connection;
    std::unique_ptr<peer_attempt> m_peerAttempt; ///< while another instance handles the request
    std::vector<instance_id> m_forwardedTo;
    bool m_mayHaveRun = false; ///< set by an attempt that failed, was cancelled after sending or has an unknown outcome
    std::optional<caller_answer> m_failureAnswer; ///< an upstream's failure answer, sent if no later attempt succeeds
    bool m_isDone = false;
};

} // namespace flamingoroute

#endif
