#ifndef FLAMINGOROUTE_STORE_LEASE_SETTINGS_HPP
#define FLAMINGOROUTE_STORE_LEASE_SETTINGS_HPP

#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/model/monotonic_time.hpp"

#include <string>

namespace flamingoroute {

/// A named lease, its holder and its timing.
struct lease_settings {
    std::string name;
    std::string holder; ///< unique to a process at an address, for example "guate-1a/control"
    incarnation holderIncarnation = 0; ///< a higher one proves that the holder's earlier process has terminated
    milliseconds duration { 10'000 }; ///< of the lease, from each renewal
    milliseconds renewInterval { 3'000 };
    milliseconds retryInterval { 1'000 }; ///< between reads of a lease held by another process, and after errors
    milliseconds drift { 200 }; ///< bound on the drift between two clocks during a lease

    bool operator==(const lease_settings&) const = default;
};

} // namespace flamingoroute

#endif
