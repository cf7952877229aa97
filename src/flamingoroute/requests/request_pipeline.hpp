#ifndef FLAMINGOROUTE_REQUESTS_REQUEST_PIPELINE_HPP
#define FLAMINGOROUTE_REQUESTS_REQUEST_PIPELINE_HPP

#include "flamingoroute/requests/caller_answer.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/requests/pipeline_hooks.hpp"

namespace flamingoroute {

/// Takes a request from its route to its answer: key, claim, rate, version, upstream, attempts.
class request_pipeline {
public:
    explicit request_pipeline(pipeline_hooks hooks);

    /// Safe to call from many threads. Blocks until the answer is there or the route's deadline has passed.
    /// @return the upstream's whole answer, or a refusal with the Flamingo-Execution header
    caller_answer handle(const caller_request& request) const;

private:
    struct progress;

    caller_answer serve(const caller_request& request, progress& state) const;
    caller_answer runAttempts(const caller_request& request, progress& state) const;
    caller_answer refuse(const refusal& why, progress& state) const;

    pipeline_hooks m_hooks;
};

/// @return the answer that stands for a refusal: status, Flamingo-Execution, Retry-After and a JSON body
caller_answer answerOf(const refusal& why);

} // namespace flamingoroute

#endif
