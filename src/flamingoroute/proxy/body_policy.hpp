#ifndef FLAMINGOROUTE_PROXY_BODY_POLICY_HPP
#define FLAMINGOROUTE_PROXY_BODY_POLICY_HPP

#include "flamingoroute/proxy/body_admission.hpp"
#include "flamingoroute/proxy/body_refusal.hpp"

#include <functional>
#include <memory>

namespace flamingoroute {

class body_budget;
struct http_request;

/// Decides which bodies a listener reads.
struct body_policy {
    /// Called with the head of a request whose body is not small and has not arrived yet.
    std::function<body_admission(const http_request& head)> admit;
    /// Makes the answer to a request whose body is not read any further.
    std::function<caller_answer(body_refusal reason)> refuse;
    /// Told the status of each request that is rejected before it is complete.
    std::function<void(int status)> onRejected;
    std::shared_ptr<body_budget> budget; ///< null: each body is bounded by itself only, and no hook is called
};

} // namespace flamingoroute

#endif
