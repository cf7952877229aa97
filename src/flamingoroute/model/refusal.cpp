#include "flamingoroute/model/refusal.hpp"

#include <array>

namespace flamingoroute {

namespace {

struct reason_row {
    refusal_reason reason;
    const char* name;
    int status;
};

constexpr std::array<reason_row, 16> reasonRows { {
    { refusal_reason::malformed_request, "malformed_request", 400 },
    { refusal_reason::unknown_route, "unknown_route", 404 },
    { refusal_reason::missing_key, "missing_key", 401 },
    { refusal_reason::wrong_key, "wrong_key", 401 },
    { refusal_reason::over_rate, "over_rate", 429 },
    { refusal_reason::no_capacity, "no_capacity", 503 },
    { refusal_reason::no_healthy_upstream, "no_healthy_upstream", 503 },
    { refusal_reason::deadline_passed, "deadline_passed", 503 },
    { refusal_reason::duplicate_in_progress, "duplicate_in_progress", 409 },
    { refusal_reason::idempotency_key_reused, "idempotency_key_reused", 422 },
    { refusal_reason::already_ran, "already_ran", 409 },
    { refusal_reason::unclaimable, "unclaimable", 503 },
    { refusal_reason::quarantined, "quarantined", 503 },
    { refusal_reason::not_ready, "not_ready", 503 },
    { refusal_reason::upstream_outcome_unknown, "upstream_outcome_unknown", 504 },
    { refusal_reason::upstream_answer_incomplete, "upstream_answer_incomplete", 504 },
} };

/// @return the row of @p reason; the last row if it has none
const reason_row& rowOf(refusal_reason reason)
{
    for (const auto& row : reasonRows) {
        if (row.reason == reason)
            return row;
    }
    return reasonRows.back();
}

} // namespace

const char* toString(refusal_reason reason) { return rowOf(reason).name; }

int httpStatus(refusal_reason reason) { return rowOf(reason).status; }

} // namespace flamingoroute
