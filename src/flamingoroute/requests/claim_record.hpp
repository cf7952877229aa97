#ifndef FLAMINGOROUTE_REQUESTS_CLAIM_RECORD_HPP
#define FLAMINGOROUTE_REQUESTS_CLAIM_RECORD_HPP

#include "flamingoroute/model/error.hpp"
#include "flamingoroute/requests/caller_answer.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingoroute {

/// What is known of the request that a claim stands for.
enum class claim_state {
    running, ///< may be running, or its instance died
    answered, ///< it ran
    unknown, ///< it may have run, and nobody will learn more
};

/// The value of a claim object in the platform's store.
struct claim_record {
    std::string writer; ///< instance and incarnation of the last write
    std::uint64_t sequence = 0; ///< of the writer's writes; with the writer it names one write
    claim_state state = claim_state::running;
    std::string fingerprint; ///< of the request that the Idempotency-Key came with
    std::int64_t createdAt = 0; ///< wall clock, seconds since 1970; only for expiry
    std::optional<caller_answer> answer; ///< if answered, and small enough to keep

    bool operator==(const claim_record&) const = default;
};

/// @return @p record as JSON
std::string encodeClaim(const claim_record& record);

/// @return the record, or `invalid_input`
tl::expected<claim_record, error> decodeClaim(const std::string& text);

} // namespace flamingoroute

#endif
