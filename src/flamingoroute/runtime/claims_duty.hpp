#ifndef FLAMINGOROUTE_RUNTIME_CLAIMS_DUTY_HPP
#define FLAMINGOROUTE_RUNTIME_CLAIMS_DUTY_HPP

#include "flamingoroute/requests/claim_runner.hpp"
#include "flamingoroute/runtime/claims_duty_options.hpp"
#include "flamingoroute/runtime/duty_thread.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace flamingoroute {

/// Claims for requests with an Idempotency-Key. The right to run is claimed on the caller's thread; outcomes are
/// written and expired claims deleted on separate threads.
class claims_duty {
public:
    /// @param writer identifies this instance and incarnation
    /// @param instanceCount returns the number of instances in the fleet, which share the deletion of expired claims
    claims_duty(
        object_store& store, std::string writer, claims_duty_options options, std::function<int()> instanceCount);
    ~claims_duty();
    claims_duty(const claims_duty&) = delete;
    claims_duty& operator=(const claims_duty&) = delete;

    void start();

    /// Stops after the pending outcomes are written.
    /// @param timeout outcomes not written by then are lost; later submissions are answered "unknown"
    void stop(milliseconds timeout);

    /// See claim_runner.
    claim_decision claim(
        const customer_id& customer, const service_id& service, const caller_request& request, monotonic_time deadline);
    void settle(const caller_request& request, execution_state execution, const std::optional<caller_answer>& answer);

    /// @return the number of outcomes that are not written yet
    int pendingCount() const { return m_pending; }

private:
    struct settlement_worker;

    bool enqueue(settlement_job job);
    void workOn(settlement_worker& worker, settlement_job job);
    void tick(settlement_worker& worker);
    void sweep();

    object_store& m_store;
    claims_duty_options m_options;
    std::function<int()> m_instanceCount;
    claim_runner m_runner;
    std::vector<std::unique_ptr<settlement_worker>> m_workers;
    std::atomic<std::size_t> m_nextWorker { 0 };
    std::atomic<int> m_pending { 0 };
    std::mt19937 m_random; ///< used by the first worker only
    monotonic_time m_sweepAt;
};

} // namespace flamingoroute

#endif
