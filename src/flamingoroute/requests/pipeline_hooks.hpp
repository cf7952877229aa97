#ifndef FLAMINGOROUTE_REQUESTS_PIPELINE_HOOKS_HPP
#define FLAMINGOROUTE_REQUESTS_PIPELINE_HOOKS_HPP

#include "flamingoroute/model/configuration.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/requests/attempt_result.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/requests/claim_decision.hpp"
#include "flamingoroute/requests/request_record.hpp"
#include "flamingoroute/steering/chosen_upstream.hpp"
#include "flamingoroute/steering/upstream_requirements.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <optional>

namespace flamingoroute {

/// The steps of request processing that other modules implement. Each must be safe to call from many threads.
struct pipeline_hooks {
    monotonic_clock now;

    /// @return the active configuration, or null if the instance is not ready
    std::function<configuration_ptr()> currentConfiguration;

    /// @param key the API key that the caller presented
    /// @return the customer that owns the key, or `wrong_key`
    std::function<tl::expected<customer_id, refusal>(const std::string& key)> authenticate;

    /// Takes one token of the customer's rate limit; waits for a grant if necessary.
    /// @return nothing, or `over_rate`
    std::function<tl::expected<void, refusal>(const customer_id& customer, monotonic_time deadline)> admit;

    /// @return the version to run this request
    std::function<version_id(const service& matchedService, const route& matchedRoute)> chooseVersion;

    /// @return the version for a retry of a request. May be empty: retries then use the version of the first attempt.
    std::function<version_id(const service& matchedService, const route& matchedRoute)> chooseRetryVersion;

    /// Called for each attempt, also if no upstream of the version was available; input for the evaluation of versions.
    /// May be empty.
    std::function<void(const service& matchedService, const route& matchedRoute, const version_id& version,
        const attempt_result& result)>
        observeAttempt;

    /// Waits in the queue for a slot at an upstream.
    /// @return a slot that must be released, or the refusal
    std::function<tl::expected<chosen_upstream, refusal>(const upstream_requirements& requirements)> acquireUpstream;

    /// Releases the slot and reports the result of the attempt.
    std::function<void(const chosen_upstream& chosen, const attempt_result& result)> releaseUpstream;

    /// Sends the request to the upstream; one attempt.
    std::function<attempt_result(const upstream& target, const caller_request& request, monotonic_time deadline)>
        attempt;

    /// Acquires the right to run a request that has an Idempotency-Key. May be empty.
    std::function<claim_decision(const customer_id& customer, const caller_request& request,
        const service& matchedService, monotonic_time deadline)>
        claim;

    /// Settles a claim: with the answer, or without one if the request definitely did not run or its outcome is
    /// unknown. May be empty.
    std::function<void(const customer_id& customer, const caller_request& request, execution_state execution,
        const std::optional<caller_answer>& answer)>
        settleClaim;

    /// Checks the quarantine. May be empty.
    /// @return the refusal if requests with this fingerprint are quarantined
    std::function<std::optional<refusal>(
        const customer_id& customer, const route& matchedRoute, const caller_request& request)>
        checkQuarantine;

    /// Called for each attempt whose outcome is unknown for a reason other than a timeout; input for the quarantine.
    /// May be empty.
    std::function<void(
        const customer_id& customer, const route& matchedRoute, const caller_request& request, const upstream& target)>
        recordBrokenAttempt;

    /// Delays a refusal until the notice of a broken attempt has reached other instances. May be empty.
    std::function<void(monotonic_time until)> sleepUntil;

    /// Called for each complete answer; input for the quarantine. May be empty.
    std::function<void(const customer_id& customer, const route& matchedRoute, const caller_request& request)>
        recordAnsweredAttempt;

    /// Called once for each request when it ends.
    std::function<void(const request_record& record)> observe;
};

} // namespace flamingoroute

#endif
