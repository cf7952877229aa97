#include "flamingoroute/requests/claim_runner.hpp"

#include "flamingoroute/requests/claim_attempt.hpp"
#include "flamingoroute/store/object_store.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

/// Time after which writing an outcome is abandoned; the claim stays "running", so later submissions get "unknown".
constexpr milliseconds settleTimeout { 600'000 };

std::size_t sizeOf(const caller_answer& answer)
{
    std::size_t size = answer.body.size();
    for (const auto& header : answer.headers)
        size += header.name.size() + header.value.size();
    return size;
}

tl::expected<void, error> withoutVersion(const tl::expected<object_version, error>& result)
{
    if (result)
        return {};
    return tl::unexpected(result.error());
}

} // namespace

claim_runner::claim_runner(object_store& store, std::string writer, claim_limits limits, claim_runner_hooks hooks)
    : m_store(store)
    , m_writer(std::move(writer))
    , m_limits(limits)
    , m_hooks(std::move(hooks))
{
}

claim_decision claim_runner::claim(
    const customer_id& customer, const service_id& service, const caller_request& request, monotonic_time deadline)
{
    const auto where = claimNameOf(customer, service, request.idempotencyKey);
    claim_attempt attempt(newRecord(request), m_limits);
    while (attempt.next() != claim_step::done) {
        if (m_hooks.now() >= deadline)
            attempt.onDeadline();
        else if (attempt.next() == claim_step::create)
            attempt.onCreated(m_store.create(where.kind, where.name, encodeClaim(attempt.ownRecord())));
        else if (attempt.next() == claim_step::read)
            attempt.onRead(m_store.get(where.kind, where.name));
        else {
            m_hooks.sleep(std::min<microseconds>(attempt.waitTime(), deadline - m_hooks.now()));
            attempt.onWaited();
        }
    }
    if (attempt.mayHaveLeftClaim())
        dispatch(
            { where, claim_settlement(attempt.ownRecord(), 0, std::nullopt, m_limits), m_hooks.now() + settleTimeout });
    if (attempt.decision().mayRun) {
        const std::lock_guard lock(m_mutex);
        // Without a customer the owner of the answer is not known, so the answer is not returned to later submissions.
        m_held[request.id] = { where, attempt.ownRecord(), attempt.version(), !customer.empty() };
    }
    return attempt.decision();
}

void claim_runner::settle(
    const caller_request& request, execution_state execution, const std::optional<caller_answer>& answer)
{
    held_claim held;
    std::optional<claim_record> settled;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_held.find(request.id);
        if (found == m_held.end())
            return;
        held = std::move(found->second);
        m_held.erase(found);
        if (execution != execution_state::not_run) {
            settled = held.record;
            settled->sequence = ++m_sequence;
        }
    }
    if (settled) {
        settled->state = execution == execution_state::ran ? claim_state::answered : claim_state::unknown;
        if (answer && held.mayKeepAnswer && sizeOf(*answer) <= m_limits.maxKeptAnswerBytes)
            settled->answer = answer;
    }
    claim_settlement settlement(held.record, held.version, settled, m_limits);
    dispatch({ held.where, std::move(settlement), m_hooks.now() + settleTimeout });
}

bool claim_runner::runSettlement(settlement_job& job)
{
    auto& settlement = job.settlement;
    if (settlement.next() == settlement_step::later)
        settlement.restart();
    while (settlement.next() == settlement_step::write || settlement.next() == settlement_step::read) {
        if (settlement.next() == settlement_step::read)
            settlement.onRead(m_store.get(job.where.kind, job.where.name));
        else if (settlement.settled())
            settlement.onWritten(withoutVersion(m_store.update(
                job.where.kind, job.where.name, encodeClaim(*settlement.settled()), settlement.version())));
        else
            settlement.onWritten(m_store.remove(job.where.kind, job.where.name, settlement.version()));
    }
    return settlement.next() == settlement_step::done;
}

claim_record claim_runner::newRecord(const caller_request& request)
{
    claim_record record;
    record.writer = m_writer;
    record.fingerprint = fingerprintOf(request);
    record.createdAt = m_hooks.wallSeconds();
    const std::lock_guard lock(m_mutex);
    record.sequence = ++m_sequence;
    return record;
}

void claim_runner::dispatch(settlement_job job)
{
    if (!m_hooks.enqueue(job))
        runSettlement(job);
}

} // namespace flamingoroute
