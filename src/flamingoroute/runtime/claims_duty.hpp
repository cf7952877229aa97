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

/// Claims for requests with an Idempotency-Key: the right to run on the caller's thread, outcomes and the deletion of
/// expired claims on threads of its own.
class claims_duty {
public:
    /// @param writer names this instance and incarnation
    /// @param instanceCount instances in the fleet, which share the sweeping
    claims_duty(
        object_store& store, std::string writer, claims_duty_options options, std::function<int()> instanceCount);
    ~claims_duty();
    claims_duty(const claims_duty&) = delete;
    claims_duty& operator=(const claims_duty&) = delete;

    void start();

    /// Ends after the outcomes in hand are written.
    /// @param patience outcomes not written by then are lost; later sendings hear "unknown"
    void stop(milliseconds patience);

    /// See claim_runner.
    claim_decision claim(
        const customer_id& customer, const service_id& service, const caller_request& request, monotonic_time deadline);
    void settle(const caller_request& request, execution_state execution, const std::optional<caller_answer>& answer);

    /// @return outcomes that are not written yet
    int pendingCount() const { return m_pending; }

private:
    struct worker;

    bool enqueue(settlement_job job);
    void workOn(worker& on, settlement_job job);
    void tick(worker& on);
    void sweep();

    object_store& m_store;
    claims_duty_options m_options;
    std::function<int()> m_instanceCount;
    claim_runner m_runner;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::atomic<std::size_t> m_nextWorker { 0 };
    std::atomic<int> m_pending { 0 };
    std::mt19937 m_random; ///< used by the first worker only
    monotonic_time m_sweepAt;
};

} // namespace flamingoroute

#endif
