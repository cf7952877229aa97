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

/// The steps of a request that other modules decide. Each may be called from many threads at once.
struct pipeline_hooks {
    monotonic_clock now;

    /// @return the configuration in force, or null if the instance is not ready
    std::function<configuration_ptr()> currentConfiguration;

    /// @param key what the caller presented
    /// @return the customer whose key it is, or `wrong_key`
    std::function<tl::expected<customer_id, refusal>(const std::string& key)> authenticate;

    /// Takes one token of the customer's rate, waiting for a grant if need be.
    /// @return nothing, or `over_rate`
    std::function<tl::expected<void, refusal>(const customer_id& customer, monotonic_time deadline)> admit;

    /// @return the version that shall run this request
    std::function<version_id(const service& wanted, const route& way)> chooseVersion;

    /// @return the version for another attempt at a request; may be empty: the version of the first attempt
    std::function<version_id(const service& wanted, const route& way)> chooseRetryVersion;

    /// Told of each attempt, also if no upstream of the version took it, for the verdict on versions. May be empty.
    std::function<void(
        const service& wanted, const route& way, const version_id& version, const attempt_result& result)>
        observeAttempt;

    /// Queues for a slot at an upstream.
    /// @return a slot to be released, or why there is none
    std::function<tl::expected<chosen_upstream, refusal>(const upstream_requirements& wish)> acquireUpstream;

    /// Gives the slot back and tells how the attempt went.
    std::function<void(const chosen_upstream& chosen, const attempt_result& result)> releaseUpstream;

    /// Sends the request once.
    std::function<attempt_result(const upstream& target, const caller_request& request, monotonic_time deadline)>
        attempt;

    /// Claims the right to run a request that names an Idempotency-Key.
    std::function<claim_decision(
        const customer_id& customer, const caller_request& request, const service& wanted, monotonic_time deadline)>
        claim;

    /// Settles a claim: with the answer, or without one if the request surely did not run or its outcome is unknown.
    std::function<void(const customer_id& customer, const caller_request& request, execution_state execution,
        const std::optional<caller_answer>& answer)>
        settleClaim;

    /// @return the refusal if requests like this one are quarantined
    std::function<std::optional<refusal>(const customer_id& customer, const route& way, const caller_request& request)>
        checkQuarantine;

    /// Told of each attempt whose upstream broke off, for the quarantine.
    std::function<void(
        const customer_id& customer, const route& way, const caller_request& request, const upstream& target)>
        noteBrokenAttempt;

    /// Holds a refusal until other instances know of a broken attempt. May be empty.
    std::function<void(monotonic_time until)> sleepUntil;

    /// Told of each whole answer, for the quarantine. May be empty.
    std::function<void(const customer_id& customer, const route& way, const caller_request& request)>
        noteAnsweredAttempt;

    /// Told of each request when it ends.
    std::function<void(const request_record& record)> observe;
};

} // namespace flamingoroute

#endif
