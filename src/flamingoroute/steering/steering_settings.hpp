#ifndef FLAMINGOROUTE_STEERING_STEERING_SETTINGS_HPP
#define FLAMINGOROUTE_STEERING_STEERING_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// The limits and times of steering.
struct steering_settings {
    milliseconds grantLifetime { 8000 }; ///< of slots granted within the failure domain
    milliseconds creditLifetime { 2000 }; ///< of slots lent to other failure domains
    milliseconds clockDrift { 100 }; ///< two monotonic clocks differ by less over one lifetime
    milliseconds renewInterval { 2500 }; ///< between renewals within the failure domain
    milliseconds creditRenewInterval { 500 }; ///< between renewals of credits (slots lent to other failure domains)
    milliseconds requestInterval { 5 }; ///< minimum time between two requests to one allocator
    milliseconds retransmitInterval { 200 }; ///< until an unanswered message is sent again
    milliseconds linkRequestInterval { 20 }; ///< between requests for bytes on a link
    milliseconds reportInterval { 50 }; ///< between reports of falling demand while slots are scarce, at least
    milliseconds reportIntervalPerHolder { 20 }; ///< the same, for each instance that holds slots
    milliseconds demandAveragingTime { 300 }; ///< time constant of the average for steady demand
    milliseconds demandRotation { 50 }; ///< demand rotates to other upstreams after this
    milliseconds creditIdleTimeout { 300 }; ///< unused credits are returned after this
    milliseconds rotation { 1000 }; ///< scarce slots rotate between instances no faster
    double linkShare = 0.8; ///< of a link's capacity, for requests and answers of borrowers
    milliseconds linkDepth { 100 }; ///< bytes that may be granted at once, as transfer time on the link

    std::size_t queuePerCustomer = 64; ///< requests that wait, per customer, service version and class
    std::size_t queueTotal = 1024; ///< requests that wait, per service version
    int interactivePerBulk = 8; ///< interactive requests served for each bulk one while both wait

    double ejectedShare = 0.5; ///< of the upstreams of a service version, at most
    int failuresToEject = 3; ///< consecutive
    double errorRateToEject = 0.5; ///< over the recent answers
    int answersToEvaluate = 10; ///< before an error rate or a latency counts
    double latencyRatioToEject = 5; ///< times the median latency of its peers
    milliseconds ejectionTime { 3000 }; ///< doubles with each consecutive ejection
    milliseconds maxEjection { 60'000 };
    milliseconds slowStart { 5000 }; ///< until a new upstream takes its full share
    milliseconds loadHalfLife { 500 }; ///< a reported load counts half after this
    milliseconds leavingReportLifetime { 30'000 }; ///< how long an upstream's own report that it is leaving stays valid
    milliseconds probeIgnoreTime { 2000 }; ///< after a good answer, the load or failure of a probe is ignored

    int connectionsPerInstance = 2; ///< idle connections an instance keeps to an upstream
    double connectionShare = 0.8; ///< of maxConnections, that subsetting assigns

    bool operator==(const steering_settings&) const = default;
};

} // namespace flamingoroute

#endif
