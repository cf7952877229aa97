#ifndef FLAMINGOROUTE_ADMIN_STATUS_ACCESS_HPP
#define FLAMINGOROUTE_ADMIN_STATUS_ACCESS_HPP

#include "flamingoroute/admin/lease_status.hpp"
#include "flamingoroute/model/error.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/member_status.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <vector>

namespace flamingoroute {

/// Data sources of the status query. Called from many threads at once.
struct status_access {
    std::function<revision()> activeRevision; ///< of this instance; zero if none
    std::function<std::vector<member_status>()> members;
    std::function<tl::expected<std::vector<lease_status>, error>()> leases; ///< read from the platform
};

} // namespace flamingoroute

#endif
