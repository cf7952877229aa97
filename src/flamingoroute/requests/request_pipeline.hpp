#ifndef FLAMINGOROUTE_REQUESTS_REQUEST_PIPELINE_HPP
#define FLAMINGOROUTE_REQUESTS_REQUEST_PIPELINE_HPP

#include "flamingoroute/requests/caller_answer.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/requests/pipeline_hooks.hpp"
#include "flamingoroute/requests/retry_budget.hpp"

#include <mutex>

namespace flamingoroute {

/// Processes a request from routing to its answer: key, quarantine, rate limit, claim, version, upstream, attempts.
///
/// A request that is not repeatable is retried only if it definitely did not run before. The key is checked again
/// after each wait in a queue. Hooks for claims and the quarantine may be empty.
class request_pipeline {
public:
    explicit request_pipeline(pipeline_hooks hooks, retry_limits retries = {});

    /// Thread-safe. Blocks until the answer is available or the route's deadline has passed.
    /// @return the upstream's complete answer, or a refusal with the Flamingo-Execution header
    caller_answer handle(const caller_request& request) const;

private:
    struct progress;
    class claim_guard;
    using step_result = tl::expected<void, refusal>;

    caller_answer serve(progress& state) const;
    step_result findRoute(progress& state) const;
    step_result checkIdempotencyKey(const progress& state) const;
    step_result authenticate(progress& state) const;
    step_result checkQuarantine(const progress& state) const;
    step_result admit(const progress& state) const;
    caller_answer serveClaimed(progress& state) const;
    tl::expected<chosen_upstream, refusal> acquire(upstream_requirements& requirements, progress& state) const;
    caller_answer runAttempts(progress& state) const;
    step_result checkBeforeAttempt(progress& state) const;
    bool mayRetry(progress& state, const attempt_result& result) const;
    void recordAttempt(progress& state, const chosen_upstream& chosen, const attempt_result& result) const;
    caller_answer refuse(const refusal& why, progress& state) const;

    pipeline_hooks m_hooks;
    mutable std::mutex m_mutex;
    mutable retry_budget m_retries;
};

/// @return the HTTP answer for a refusal: status, Flamingo-Execution, Retry-After and a JSON body
caller_answer answerOf(const refusal& why);

} // namespace flamingoroute

#endif
