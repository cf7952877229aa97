#ifndef FLAMINGOROUTE_ADMIN_LEASE_STATUS_HPP
#define FLAMINGOROUTE_ADMIN_LEASE_STATUS_HPP

#include <cstdint>
#include <string>

namespace flamingoroute {

/// A lease as stored by the platform.
struct lease_status {
    std::string name;
    std::string holder; ///< empty if released
    std::uint64_t epoch = 0;

    bool operator==(const lease_status&) const = default;
};

} // namespace flamingoroute

#endif
