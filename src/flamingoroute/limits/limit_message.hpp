#ifndef FLAMINGOROUTE_LIMITS_LIMIT_MESSAGE_HPP
#define FLAMINGOROUTE_LIMITS_LIMIT_MESSAGE_HPP

#include "flamingoroute/limits/holder_ping.hpp"
#include "flamingoroute/limits/pool_lease.hpp"
#include "flamingoroute/limits/share_assignment.hpp"
#include "flamingoroute/limits/share_grant.hpp"
#include "flamingoroute/limits/share_request.hpp"
#include "flamingoroute/limits/usage_report.hpp"
#include "flamingoroute/model/ids.hpp"
#include "flamingoroute/peers/envelope.hpp"

#include <variant>

namespace flamingoroute {

/// One message of this module before batching.
struct limit_message {
    instance_id to;
    process_role role = process_role::entry;
    std::variant<share_request, share_grant, share_assignment, usage_report, pool_lease, holder_ping> body;

    bool operator==(const limit_message&) const = default;
};

} // namespace flamingoroute

#endif
