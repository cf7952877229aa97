#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_RECORD_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_RECORD_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingoroute {

/// Execution state of the request that a claim stands for.
enum class claim_state {
    running, ///< may be running, or its instance terminated
    answered, ///< it ran
    unknown, ///< it may have run; the outcome is final and cannot be determined
};

/// The value of a claim object in the platform's store.
struct claim_record {
    std::string writer; ///< instance and incarnation of the last write
    std::uint64_t sequence = 0; ///< number of the write; together with writer it identifies one write
    claim_state state = claim_state::running;
    std::string fingerprint; ///< hash of the request that was sent with the Idempotency-Key
    std::int64_t createdAt = 0; ///< wall clock, seconds since 1970; used for expiry only
    std::optional<caller_answer> answer; ///< if answered, and small enough to store

    bool operator==(const claim_record&) const = default;
};

/// @return @p record as JSON
std::string encodeClaim(const claim_record& record);

/// @return the record, or `invalid_input`
tl::expected<claim_record, error> decodeClaim(const std::string& text);

} // namespace flamingoroute

#endif
