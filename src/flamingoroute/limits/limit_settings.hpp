#ifndef FLAMINGOROUTE_LIMITS_LIMIT_SETTINGS_HPP
#define FLAMINGOROUTE_LIMITS_LIMIT_SETTINGS_HPP

#include "flamingoroute/model/monotonic_time.hpp"

#include <cstddef>

namespace flamingoroute {

/// Settings of rates and bursts. The same on all instances.
struct limit_settings {
    milliseconds grantLifetime { 500 }; ///< a grant expires this long after its request was sent
    milliseconds grantDeliveryTimeout { 150 }; ///< a grant not confirmed as received by then is considered lost
    milliseconds maxClockDrift { 50 }; ///< two clocks differ by at most this over any of the times here
    milliseconds maxWait { 250 }; ///< longest wait of a request for a token
    milliseconds maxColdWait { 1000 }; ///< the same, while the pool is not yet known here
    std::size_t maxWaiting = 1000; ///< requests of one customer that wait at one instance
    milliseconds requestInterval { 20 }; ///< between two requests for tokens to one pool
    milliseconds settleInterval { 100 }; ///< between two reports of spent grants, if no tokens are needed
    milliseconds lookahead { 100 }; ///< period of predicted demand that the received grants cover
    milliseconds reportInterval { 1000 }; ///< between two usage reports of a customer
    milliseconds idleTimeout { 10000 }; ///< the state of a customer without requests for this long is removed
    milliseconds floorLifetime { 1800000 }; ///< expires this long after the last report answered by the allocator
    milliseconds promiseDuration { 2000 }; ///< a successor does not take over the pool for this long after its promise
    milliseconds promiseInterval { 500 }; ///< between two pings of a holder to a successor
    milliseconds abandonedTimeout { 1800000 }; ///< any instance may take over a table not written for this long
    milliseconds renewInterval { 300000 }; ///< between two renewals of a table that does not change
    milliseconds resplitInterval { 5000 }; ///< between two plans of floors by demand
    milliseconds readRetryInterval { 1000 }; ///< between two reads of a table whose pool does not respond
    bool keepsFloorWithoutDemand
        = false; ///< instances without requests of a customer keep a floor for it too: for small fleets
    double floorFraction = 0.2; ///< part of rate and burst that is split into floors

    bool operator==(const limit_settings&) const = default;
};

} // namespace flamingoroute

#endif
