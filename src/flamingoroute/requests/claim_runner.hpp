#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_RUNNER_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_RUNNER_HPP

#include "flamingoroute/model/execution_state.hpp"
#include "flamingoroute/model/monotonic_time.hpp"
#include "flamingoroute/requests/caller_request.hpp"
#include "flamingoroute/requests/claim_decision.hpp"
#include "flamingoroute/requests/claim_limits.hpp"
#include "flamingoroute/requests/claim_name.hpp"
#include "flamingoroute/requests/claim_settlement.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace flamingoroute {

class object_store;

/// An outcome on its way into the store.
struct settlement_job {
    claim_name where;
    claim_settlement settlement;
    monotonic_time giveUpAt;
};

/// What the claims of an instance need from outside.
struct claim_runner_hooks {
    monotonic_clock now;
    std::function<void(microseconds)> sleep;
    std::function<std::int64_t()> wallSeconds; ///< seconds since 1970; only for expiry

    /// Takes over an outcome that is to be written soon.
    /// @return false if there is no room; the outcome is written at once then
    std::function<bool(settlement_job)> enqueue;
};

/// Runs claim attempts and settlements over the platform's store. Safe to call from many threads.
class claim_runner {
public:
    /// @param writer names this instance and incarnation, and no other
    claim_runner(object_store& store, std::string writer, claim_limits limits, claim_runner_hooks hooks);

    /// Asks for the right to run a request that names an Idempotency-Key. Blocks on the store.
    claim_decision claim(
        const customer_id& customer, const service_id& service, const caller_request& request, monotonic_time deadline);

    /// Hands over the outcome of a request that was given the right to run.
    /// @param answer what the upstream answered, if it did
    void settle(const caller_request& request, execution_state execution, const std::optional<caller_answer>& answer);

    /// Works on an outcome until it is written or has to wait.
    /// @return whether it is done
    bool runSettlement(settlement_job& job);

private:
    struct held_claim {
        claim_name where;
        claim_record record;
        object_version version = 0;
        bool mayKeepAnswer = false;
    };

    claim_record newRecord(const caller_request& request);
    void dispatch(settlement_job job);

    object_store& m_store;
    std::string m_writer;
    claim_limits m_limits;
    claim_runner_hooks m_hooks;
    std::mutex m_mutex;
    std::uint64_t m_sequence = 0;
    std::map<std::string, held_claim> m_held; ///< by request id
};

} // namespace flamingoroute

#endif
