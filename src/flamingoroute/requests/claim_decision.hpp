#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_DECISION_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_DECISION_HPP

#include "flamingoroute/model/refusal.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <optional>

namespace flamingoroute {

/// Whether a request with an Idempotency-Key may run.
struct claim_decision {
    bool mayRun = false; ///< this instance holds the claim and may run the request
    std::optional<caller_answer> earlierAnswer; ///< the stored answer of the first run
    std::optional<refusal> refused; ///< set if the request may not run and no answer is stored

    bool operator==(const claim_decision&) const = default;
};

} // namespace flamingoroute

#endif
