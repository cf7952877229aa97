#ifndef FLAMINGOROUTE_FLEET_FLEET_REPORT_HPP
#define FLAMINGOROUTE_FLEET_FLEET_REPORT_HPP

#include "flamingoroute/fleet/customer_demand.hpp"
#include "flamingoroute/fleet/version_tally.hpp"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace flamingoroute {

/// What an instance tells others of itself, twice a second. Each report holds all, so that a lost one is no loss.
struct fleet_report {
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false; ///< takes callers
    bool isLeaving = false;
    bool hasFullWindow = false; ///< has run for a whole rate window, so that its counts are whole
    bool isUrgent = false; ///< out of turn, because counts have risen
    std::vector<customer_demand> demand;
    std::vector<version_tally> tallies;

    bool operator==(const fleet_report&) const = default;
    MSGPACK_DEFINE(instance, failureDomain, region, callerAddress, peerAddress, isReady, isLeaving, hasFullWindow,
        isUrgent, demand, tallies)
};

} // namespace flamingoroute

#endif
