#include "flamingoroute/requests/claim_attempt.hpp"

namespace flamingoroute {

claim_attempt::claim_attempt(claim_record ownRecord, claim_limits limits)
    : m_ownRecord(std::move(ownRecord))
    , m_limits(limits)
    , m_wait(limits.firstWait)
{
}

void claim_attempt::onCreated(const tl::expected<object_version, error>& result)
{
    ++m_creates;
    if (result)
        return run(*result);
    switch (result.error().code) {
    case error_code::conflict:
        m_hasFoundOther = true;
        m_next = claim_step::read;
        return;
    case error_code::unavailable:
        if (m_isOwnCreateUnconfirmed)
            return readAgain();
        return refuse(refusal_reason::unclaimable, execution_state::not_run,
            "the platform is unreachable; the claim was not created");
    default:
        m_isOwnCreateUnconfirmed = true;
        m_next = claim_step::read;
    }
}

void claim_attempt::onRead(const tl::expected<stored_object, error>& result)
{
    ++m_reads;
    if (result)
        return evaluate(*result);
    if (result.error().code == error_code::not_found)
        return createAgain();
    if (++m_failedReads >= m_limits.maxFailedReads)
        return refuseUnresolved();
    readAgain();
}

void claim_attempt::onWaited()
{
    m_wait *= 2;
    m_next = claim_step::read;
}

void claim_attempt::onDeadline()
{
    if (m_next != claim_step::done)
        refuseUnresolved();
}

void claim_attempt::evaluate(const stored_object& object)
{
    const auto record = decodeClaim(object.value);
    if (!record)
        return refuse(refusal_reason::upstream_outcome_unknown, execution_state::unknown,
            "the existing claim was read but cannot be decoded");
    if (record->writer == m_ownRecord.writer && record->sequence == m_ownRecord.sequence)
        return run(object.version);
    m_hasFoundOther = true;
    evaluateOther(*record);
}

void claim_attempt::evaluateOther(const claim_record& other)
{
    if (other.fingerprint != m_ownRecord.fingerprint)
        return refuse(refusal_reason::idempotency_key_reused, execution_state::not_run,
            "this Idempotency-Key was already used for a different request");
    if (other.state == claim_state::answered && other.answer) {
        m_decision.earlierAnswer = other.answer;
        m_next = claim_step::done;
        return;
    }
    if (other.state == claim_state::answered)
        return refuse(
            refusal_reason::already_ran, execution_state::ran, "an earlier submission ran; its answer is not stored");
    if (other.state == claim_state::unknown)
        return refuse(refusal_reason::upstream_outcome_unknown, execution_state::unknown,
            "an earlier submission may have run; the request is not run again");
    m_isOtherRunning = true;
    readAgain();
}

void claim_attempt::readAgain()
{
    if (m_reads >= m_limits.maxReads)
        return refuseUnresolved();
    m_next = claim_step::wait;
}

void claim_attempt::createAgain()
{
    m_hasFoundOther = false;
    m_isOtherRunning = false;
    if (m_creates >= m_limits.maxCreates)
        return refuseUnresolved();
    m_next = claim_step::create;
}

void claim_attempt::refuseUnresolved()
{
    if (m_isOtherRunning)
        return refuse(refusal_reason::duplicate_in_progress, execution_state::unknown,
            "an earlier submission is running, or its instance terminated; it may have run");
    if (m_hasFoundOther)
        return refuse(refusal_reason::upstream_outcome_unknown, execution_state::unknown,
            "an earlier submission may have run; its claim cannot be read at present");
    refuse(refusal_reason::unclaimable, execution_state::not_run, "the platform did not confirm the claim");
}

void claim_attempt::run(object_version version)
{
    m_version = version;
    m_decision.mayRun = true;
    m_next = claim_step::done;
}

void claim_attempt::refuse(refusal_reason reason, execution_state execution, const std::string& detail)
{
    refusal why;
    why.reason = reason;
    why.execution = execution;
    why.step = "claim";
    why.detail = detail;
    m_decision.refused = why;
    m_next = claim_step::done;
}

} // namespace flamingoroute
