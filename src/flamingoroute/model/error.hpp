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

/// An error with the step and the peer at which it occurred.
struct error {
    error_code code = error_code::internal;
    std::string step; ///< the operation that failed, for example "store.put"
    std::string peer; ///< the other party of the operation, an address or a name; empty if none
    std::string detail; ///< what went wrong

    bool operator==(const error&) const = default;
};

/// @return the standard name of @p code, for example "invalid_input"
const char* toString(error_code code);

/// @return one line for logs and operators: code, step, peer and detail
std::string describe(const error& failure);

} // namespace flamingoroute

#endif
