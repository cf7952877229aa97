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

/// What the settlement of a claim needs next.
enum class settlement_step {
    write, ///< update the claim object, or delete it if the claim is released
    read, ///< read the claim object
    later, ///< try again later
    done,
};

/// Writes the outcome of a request into its claim, or releases the claim of one that surely did not run. Pure. Each
/// write is conditional on the version of this sending's own claim, so a late one harms nobody.
class claim_settlement {
public:
    /// @param claimed the record as it was created
    /// @param version the claim object's version, or 0 if it is not known whether the object exists
    /// @param settled the record to write, or nothing to release the claim
    claim_settlement(
        claim_record claimed, object_version version, std::optional<claim_record> settled, claim_limits limits);

    settlement_step next() const { return m_next; }
    object_version version() const { return m_version; }
    const std::optional<claim_record>& settled() const { return m_settled; }

    void onWritten(const tl::expected<void, error>& result);
    void onRead(const tl::expected<stored_object, error>& result);

    /// Starts over after `later`.
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
