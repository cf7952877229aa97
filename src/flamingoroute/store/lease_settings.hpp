#ifndef FLAMINGOROUTE_STORE_LEASE_SETTINGS_HPP
#define FLAMINGOROUTE_STORE_LEASE_SETTINGS_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// A named lease and who wants it.
struct lease_settings {
    std::string name;
    std::string holder; ///< unique to a process at an address, for example "guate-1a/control"
    incarnation holderIncarnation = 0; ///< proves that an earlier process of the same holder is gone
    milliseconds duration { 10'000 }; ///< how long the lease goes on after a renewal
    milliseconds renewInterval { 3'000 };
    milliseconds retryInterval { 1'000 }; ///< between reads of a lease that another holds, and after errors
    milliseconds drift { 200 }; ///< bound on how far two clocks run apart during a lease

    bool operator==(const lease_settings&) const = default;
};

} // namespace flamingoroute

#endif
