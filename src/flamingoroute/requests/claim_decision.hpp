#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_DECISION_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_DECISION_HPP

#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <optional>

namespace flamingoroute {

/// Whether a request with an Idempotency-Key may run.
struct claim_decision {
    bool mayRun = false; ///< this instance alone may run it now
    std::optional<caller_answer> earlierAnswer; ///< the answer that the first run gave
    std::optional<refusal> refused; ///< if it may not run and no answer is kept

    bool operator==(const claim_decision&) const = default;
};

} // namespace flamingoroute

#endif
