#ifndef FLAMINGOROUTE_MODEL_ERROR_HPP
#define FLAMINGOROUTE_MODEL_ERROR_HPP

#include <string>

namespace flamingoroute {

enum class error_code {
    invalid_input,
    not_found,
    conflict,
    expired,
    unavailable,
    timeout,
    outcome_unknown,
    unauthorized,
    internal,
};

/// An error with the step and the peer at which it arose.
struct error {
    error_code code = error_code::internal;
    std::string step; ///< what was being done, for example "store.put"
    std::string peer; ///< whom it was done with, an address or a name; empty if nobody
    std::string detail; ///< what went wrong

    bool operator==(const error&) const = default;
};

/// @return the standard name of @p code, for example "invalid_input"
const char* toString(error_code code);

/// @return one line for logs and operators: code, step, peer and detail
std::string describe(const error& failure);

} // namespace flamingoroute

#endif
