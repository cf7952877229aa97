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

/// A settlement that is to be written to the store.
struct settlement_job {
    claim_name where;
    claim_settlement settlement;
    monotonic_time giveUpAt;
};

/// Dependencies of claim_runner.
struct claim_runner_hooks {
    monotonic_clock now;
    std::function<void(microseconds)> sleep;
    std::function<std::int64_t()> wallSeconds; ///< seconds since 1970; used for expiry only

    /// Queues a settlement to be written asynchronously.
    /// @return false if the queue is full; the settlement then runs synchronously
    std::function<bool(settlement_job)> enqueue;
};

/// Runs claim attempts and settlements against the platform's store. Thread-safe.
class claim_runner {
public:
    /// @param writer unique name of this instance and incarnation
    claim_runner(object_store& store, std::string writer, claim_limits limits, claim_runner_hooks hooks);

    /// Tries to acquire the right to run a request that has an Idempotency-Key. Blocks on the store.
    claim_decision claim(
        const customer_id& customer, const service_id& service, const caller_request& request, monotonic_time deadline);

    /// Records the outcome of a request that was granted the right to run; no effect without a claim for it.
    /// @param answer the upstream's answer, if any
    void settle(const caller_request& request, execution_state execution, const std::optional<caller_answer>& answer);

    /// Runs a settlement until it is done or has to be retried later.
    /// @return whether the settlement is done
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
