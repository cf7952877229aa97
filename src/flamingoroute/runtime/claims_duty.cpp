#include "flamingoroute/runtime/claims_duty.hpp"

#include "flamingoroute/requests/claim_sweep.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <algorithm>
#include <ctime>
#include <thread>

namespace flamingoroute {

namespace {

constexpr milliseconds tickPeriod { 100 };
constexpr milliseconds stopPoll { 10 };

} // namespace

struct claims_duty::settlement_worker {
    std::unique_ptr<duty_thread<settlement_job>> thread;
    std::vector<settlement_job> waiting;
    monotonic_time retryAt;
};

claims_duty::claims_duty(
    object_store& store, std::string writer, claims_duty_options options, std::function<int()> instanceCount)
    : m_store(store)
    , m_options(options)
    , m_instanceCount(std::move(instanceCount))
    , m_runner(store, std::move(writer), options.limits,
          claim_runner_hooks { monotonicNow, [](microseconds time) { std::this_thread::sleep_for(time); },
              [] { return static_cast<std::int64_t>(std::time(nullptr)); },
              [this](settlement_job job) { return enqueue(std::move(job)); } })
    , m_random(std::random_device {}())
    , m_sweepAt(monotonicNow())
{
    for (std::size_t i = 0; i < std::max<std::size_t>(1, options.writers); ++i) {
        auto& worker = *m_workers.emplace_back(std::make_unique<settlement_worker>());
        worker.thread = std::make_unique<duty_thread<settlement_job>>(
            options.queuedOutcomes, tickPeriod, [this, &worker](settlement_job job) { workOn(worker, std::move(job)); },
            [this, &worker] { tick(worker); });
    }
}

claims_duty::~claims_duty() { stop(milliseconds { 0 }); }

void claims_duty::start()
{
    for (const auto& worker : m_workers)
        worker->thread->start();
}

void claims_duty::stop(milliseconds timeout)
{
    const auto stopDeadline = monotonicNow() + timeout;
    while (m_pending > 0 && monotonicNow() < stopDeadline)
        std::this_thread::sleep_for(stopPoll);
    for (const auto& worker : m_workers)
        worker->thread->stop();
}

claim_decision claims_duty::claim(
    const customer_id& customer, const service_id& service, const caller_request& request, monotonic_time deadline)
{
    return m_runner.claim(customer, service, request, deadline);
}

void claims_duty::settle(
    const caller_request& request, execution_state execution, const std::optional<caller_answer>& answer)
{
    m_runner.settle(request, execution, answer);
}

bool claims_duty::enqueue(settlement_job job)
{
    auto& worker = *m_workers[m_nextWorker++ % m_workers.size()];
    ++m_pending;
    if (worker.thread->post(std::move(job)))
        return true;
    --m_pending;
    return false;
}

void claims_duty::workOn(settlement_worker& worker, settlement_job job)
{
    const bool isDone = m_runner.runSettlement(job);
    const bool mayWait = monotonicNow() < job.giveUpAt && worker.waiting.size() < m_options.queuedOutcomes;
    if (!isDone && mayWait)
        worker.waiting.push_back(std::move(job));
    else
        --m_pending;
}

void claims_duty::tick(settlement_worker& worker)
{
    const auto now = monotonicNow();
    if (now >= worker.retryAt) {
        worker.retryAt = now + m_options.retryAfter;
        std::vector<settlement_job> jobs;
        jobs.swap(worker.waiting);
        for (auto& job : jobs)
            workOn(worker, std::move(job));
    }
    const bool isFirst = &worker == m_workers.front().get();
    if (isFirst && now >= m_sweepAt)
        sweep();
}

void claims_duty::sweep()
{
    const auto period = m_options.sweepPerInstance * std::max(1, m_instanceCount());
    std::uniform_int_distribution<std::int64_t> jitter(period.count() / 2, period.count() * 3 / 2);
    m_sweepAt = monotonicNow() + milliseconds(jitter(m_random));
    std::uniform_int_distribution<int> anyKind(0, claimKindCount - 1);
    const auto claims = m_store.list(claimKind(anyKind(m_random)));
    if (!claims)
        return;
    const auto wallSeconds = static_cast<std::int64_t>(std::time(nullptr));
    for (const auto& claim : expiredClaims(*claims, wallSeconds, m_options.limits.retention, m_options.deletesPerSweep))
        m_store.remove(claim.kind, claim.name, claim.version);
}

} // namespace flamingoroute
