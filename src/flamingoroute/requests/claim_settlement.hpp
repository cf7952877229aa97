#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_SETTLEMENT_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_SETTLEMENT_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/requests/claim_limits.hpp"
#include "flamingoroute/requests/claim_record.hpp"
#include "flamingoroute/store/stored_object.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace flamingoroute {

/// Next step of a claim settlement.
enum class settlement_step {
    write, ///< update the claim object, or delete it if the claim is released
    read, ///< read the claim object
    later, ///< try again later
    done,
};

/// State machine that writes the outcome of a request to its claim, or deletes the claim if the request definitely did
/// not run. Performs no I/O. Each write is conditional on the version of this submission's own claim, so a late write
/// cannot overwrite another submission's claim.
class claim_settlement {
public:
    /// @param claimed the record as it was created
    /// @param version the claim object's version, or 0 if it is not known whether the object exists
    /// @param settled the record to write, or std::nullopt to release (delete) the claim
    claim_settlement(
        claim_record claimed, object_version version, std::optional<claim_record> settled, claim_limits limits);

    settlement_step next() const { return m_next; }
    object_version version() const { return m_version; }
    const std::optional<claim_record>& settled() const { return m_settled; }

    void onWritten(const tl::expected<void, error>& result);
    void onRead(const tl::expected<stored_object, error>& result);

    /// Resumes after `later` with a new set of tries.
    void restart();

private:
    void tryAgain(settlement_step step);

    claim_record m_claimed;
    object_version m_version;
    std::optional<claim_record> m_settled;
    claim_limits m_limits;
    settlement_step m_next;
    int m_tries = 0;
};

} // namespace flamingoroute

#endif
