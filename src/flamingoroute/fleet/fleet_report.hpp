#ifndef FLAMINGOROUTE_FLEET_FLEET_REPORT_HPP
#define FLAMINGOROUTE_FLEET_FLEET_REPORT_HPP

#include "flamingoroute/fleet/customer_demand.hpp"
#include "flamingoroute/fleet/upstream_load.hpp"
#include "flamingoroute/fleet/version_tally.hpp"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// The state that an instance sends to others twice a second. Each report is complete, so a lost one does no harm.
struct fleet_report {
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false; ///< accepts callers
    bool isLeaving = false;
    bool hasFullWindow = false; ///< has run for a whole rate window, so that its counts are complete
    bool isUrgent = false; ///< sent before the regular interval because counts have risen
    std::vector<customer_demand> demand;
    std::vector<version_tally> tallies;
    std::vector<upstream_load> loads; ///< that answers reported since the last report
    bool reachesUpstreams = true; ///< is not partitioned from all upstreams

    bool operator==(const fleet_report&) const = default;
    MSGPACK_DEFINE(instance, failureDomain, region, callerAddress, peerAddress, isReady, isLeaving, hasFullWindow,
        isUrgent, demand, tallies, loads, reachesUpstreams)
};

} // namespace flamingoroute

#endif
