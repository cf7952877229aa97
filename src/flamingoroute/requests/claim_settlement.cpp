#include "flamingoroute/requests/claim_settlement.hpp"

namespace flamingoroute {

namespace {

bool isSameWrite(const claim_record& left, const claim_record& right)
{
    return left.writer == right.writer && left.sequence == right.sequence;
}

} // namespace

claim_settlement::claim_settlement(
    claim_record claimed, object_version version, std::optional<claim_record> settled, claim_limits limits)
    : m_claimed(std::move(claimed))
    , m_version(version)
    , m_settled(std::move(settled))
    , m_limits(limits)
    , m_next(version == 0 ? settlement_step::read : settlement_step::write)
{
}

void claim_settlement::onWritten(const tl::expected<void, error>& result)
{
    if (result || result.error().code == error_code::not_found) {
        m_next = settlement_step::done;
        return;
    }
    if (result.error().code == error_code::unavailable)
        return tryAgain(settlement_step::write);
    m_next = settlement_step::read;
}

void claim_settlement::onRead(const tl::expected<stored_object, error>& result)
{
    if (!result && result.error().code != error_code::not_found)
        return tryAgain(settlement_step::read);
    // An unconfirmed create may still take effect after this read, so the read is repeated later.
    if (!result) {
        m_next = m_version == 0 ? settlement_step::later : settlement_step::done;
        return;
    }
    const auto record = decodeClaim(result->value);
    const bool isStillClaimed = record && isSameWrite(*record, m_claimed);
    if (!isStillClaimed) {
        m_next = settlement_step::done;
        return;
    }
    m_version = result->version;
    tryAgain(settlement_step::write);
}

void claim_settlement::restart()
{
    m_tries = 0;
    m_next = m_version == 0 ? settlement_step::read : settlement_step::write;
}

void claim_settlement::tryAgain(settlement_step step)
{
    ++m_tries;
    m_next = m_tries < m_limits.maxSettleTries ? step : settlement_step::later;
}

} // namespace flamingoroute
