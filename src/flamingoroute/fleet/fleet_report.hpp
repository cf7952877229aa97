#ifndef FLAMINGOROUTE_FLEET_FLEET_REPORT_HPP
#define FLAMINGOROUTE_FLEET_FLEET_REPORT_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoroute {

/// What of one customer reaches an instance.
struct customer_demand {
    std::string customer;
    double perSecond = 0; ///< requests, admitted or not
    std::uint32_t admitted = 0; ///< requests in the last window

    bool operator==(const customer_demand&) const = default;
    MSGPACK_DEFINE(customer, perSecond, admitted)
};

/// Attempts at one version under a roll-out, as one instance counted them since the order.
struct version_tally {
    std::string service;
    std::string version;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
    std::uint32_t slow = 0;
    std::uint64_t ageMs = 0; ///< since the order was first seen by any instance, as far as the sender knows

    bool operator==(const version_tally&) const = default;
    MSGPACK_DEFINE(service, version, attempts, failures, slow, ageMs)
};

/// What an instance tells the others of itself, twice a second. Each report holds all, so that a lost one is no loss.
struct fleet_report {
    std::string instance;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string peerAddress;
    bool isReady = false; ///< takes callers
    bool isLeaving = false;
    bool isSettled = false; ///< has run for a whole rate window, so that its counts are whole
    std::vector<customer_demand> demand;
    std::vector<version_tally> tallies;

    bool operator==(const fleet_report&) const = default;
    MSGPACK_DEFINE(
        instance, failureDomain, region, callerAddress, peerAddress, isReady, isLeaving, isSettled, demand, tallies)
};

} // namespace flamingoroute

#endif
