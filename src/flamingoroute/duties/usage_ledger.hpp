#ifndef FLAMINGOROUTE_DUTIES_USAGE_LEDGER_HPP
#define FLAMINGOROUTE_DUTIES_USAGE_LEDGER_HPP

#include "flamingoroute/duties/usage_counts.hpp"
#include "flamingoroute/model/error.hpp"

#include <tl/expected.hpp>

#include <map>
#include <string>

namespace flamingoroute {

/// The store's record of the windows whose counts are fixed. A window is recorded before it is first reported, and its
/// counts never change afterwards.
struct usage_ledger {
    window_index lastWindow = 0; ///< the newest window recorded or skipped; zero: none
    std::map<window_index, customer_counts> open; ///< recorded, and not known to be confirmed

    bool operator==(const usage_ledger&) const = default;
};

/// @return @p ledger as JSON
std::string encodeLedger(const usage_ledger& ledger);

/// @return the ledger, or `invalid_input`
tl::expected<usage_ledger, error> parseLedger(const std::string& value);

} // namespace flamingoroute

#endif
